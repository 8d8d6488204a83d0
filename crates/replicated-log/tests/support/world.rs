use crate::support::prelude::*;

/// Pause between two ticks of a machine.
const TICK_MS: Millis = 10;

/// What happens next.
#[derive(Debug, Clone)]
pub enum Event {
    Tick { id: NodeId, life: u64 },
    Deliver { to: NodeId, bytes: Vec<u8> },
    Synced { id: NodeId, life: u64 },
    Restart { id: NodeId },
    Load,
    Chaos,
}

/// The fleet, its network and its time.
pub struct World {
    pub now: Millis,
    pub random: ChaCha8Rng,
    pub settings: LogSettings,
    pub nodes: BTreeMap<NodeId, Node>,
    pub checker: Checker,
    pub events: BTreeMap<(Millis, u64), Event>,
    pub sequence: u64,
    /// Directions that are cut.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub loss_permille: u64,
    pub late_permille: u64,
    pub chaos: bool,
    pub load: bool,
    pub next_id: NodeId,
    /// The machine whose disk is gone and not yet replaced.
    pub lost: Option<NodeId>,
    pub token: Token,
    /// Proposals that stand somewhere, by place and term.
    pub waiting: BTreeMap<(Index, Term), Token>,
    pub answered: u64,
    pub steps: u64,
    pub changes: u64,
    pub transfers: u64,
}

pub fn home(id: NodeId) -> MemberAddress {
    MemberAddress::new(format!("127.0.0.{id}:7000"), "a")
}

pub fn quick_settings() -> LogSettings {
    LogSettings {
        max_inflight_batches: 4,
        snapshot_after_bytes: 3000,
        kept_tail_bytes: 800,
        snapshot_chunk_bytes: 128,
        caught_up_entries: 16,
        ..LogSettings::from_bounds(100, 256)
    }
}

impl World {
    pub fn new(seed: u64, voters: NodeId) -> Self {
        let mut world = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            settings: quick_settings(),
            nodes: BTreeMap::new(),
            checker: Checker::default(),
            events: BTreeMap::new(),
            sequence: 0,
            cut: BTreeSet::new(),
            loss_permille: 0,
            late_permille: 0,
            chaos: false,
            load: false,
            next_id: voters + 1,
            lost: None,
            token: 0,
            waiting: BTreeMap::new(),
            answered: 0,
            steps: 0,
            changes: 0,
            transfers: 0,
        };
        let membership = Membership::of_voters((1..=voters).map(|id| (id, home(id))));
        for id in 1..=voters {
            world.add_node(id, RestoredState::founding(membership.clone()));
        }
        world
    }

    pub fn add_node(&mut self, id: NodeId, state: RestoredState) {
        let offset = self.random.below(100_000);
        let rate = 960 + self.random.below(80);
        self.nodes.insert(id, Node::new(id, state, offset, rate));
        self.start(id);
    }

    pub fn start(&mut self, id: NodeId) {
        let seed = self.random.next_u64();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.replica.is_some() || node.lost {
            return;
        }
        node.start(&self.settings, self.now, seed);
        let life = node.life;
        self.at(TICK_MS, Event::Tick { id, life });
    }

    pub fn crash(&mut self, id: NodeId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.crash();
        }
    }

    pub fn at(&mut self, delay: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leaders = self.nodes.values().filter(|n| n.frozen_until <= self.now);
        let leaders = leaders.filter_map(|n| n.replica.as_ref().filter(|r| r.is_leader()));
        leaders.max_by_key(|r| r.term()).map(Replica::id)
    }

    pub fn run_until(&mut self, end: Millis) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Restart { id } => self.start(id),
            Event::Load => self.offer_load(),
            Event::Chaos => self.make_chaos(),
            Event::Tick { id, .. } | Event::Synced { id, .. } | Event::Deliver { to: id, .. } => {
                let Some(node) = self.nodes.get(&id) else {
                    return;
                };
                if node.frozen_until > self.now {
                    let delay = node.frozen_until - self.now;
                    self.at(delay, event);
                    return;
                }
                self.handle_at(id, event);
            }
        }
    }

    fn handle_at(&mut self, id: NodeId, event: Event) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        match event {
            Event::Tick { life, .. } if life == node.life => {
                let wall_ms = 1_000_000 + self.now + node.wall_jump;
                self.at(TICK_MS, Event::Tick { id, life });
                self.step(id, Input::Tick { wall_ms });
            }
            Event::Synced { life, .. } if life == node.life => self.synced(id),
            Event::Deliver { bytes, .. } => self.step(id, Input::Wire(bytes)),
            _ => {}
        }
    }

    /// One input to one machine, and all that follows at once.
    pub fn step(&mut self, id: NodeId, input: Input) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let clock = node.clock(self.now);
        let Some(replica) = node.replica.as_mut() else {
            return;
        };
        self.steps += 1;
        let effects = replica.step(clock, input);
        let counters = replica.counters();
        if counters.committed_conflicts + counters.illegal_transitions + counters.malformed > 0 {
            let detail = format!("{id}: {:?}", replica.take_counters());
            self.checker.report(Rule::Internal, detail);
        }
        for effect in effects {
            self.perform(id, effect);
        }
        self.check_leases();
    }

    fn perform(&mut self, id: NodeId, effect: Effect) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        match effect {
            Effect::Persist(request) => self.persist(id, request),
            Effect::Send { to, message } => self.send(id, to, &message),
            Effect::InstallSnapshot(snapshot) => {
                node.applied = snapshot.index;
                node.digest = digest_of(&snapshot.bytes);
                self.checker.installed(id, snapshot.index, node.digest);
            }
            Effect::Commit { entries } => {
                for entry in entries {
                    self.apply(id, &entry);
                }
            }
            Effect::Proposed { token, index, term } => {
                self.waiting.insert((index, term), token);
            }
            Effect::BecameLeader { term } => {
                if let Some(replica) = &node.replica {
                    self.checker.became_leader(id, term, replica.log());
                }
            }
            Effect::SnapshotDue { .. } => {
                let (index, bytes) = (node.applied, node.snapshot_bytes());
                self.step(id, Input::SnapshotMade { index, bytes });
            }
            Effect::Shed { .. } | Effect::TransferStarted { .. } | Effect::LostLeadership { .. } => {}
        }
    }

    fn persist(&mut self, id: NodeId, request: PersistRequest) {
        let jitter = self.random.below(4);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let mut prev = None;
        for entry in &request.entries {
            self.checker.appended(entry, prev);
            prev = Some(entry.term);
        }
        if node.fault == Fault::AcksWithoutStoring {
            // Only term and vote reach the disk.
            let ticket = request.ticket;
            node.storage.stage(PersistRequest { entries: Vec::new(), ..request });
            node.storage.sync();
            self.step(id, Input::Persisted { ticket });
            return;
        }
        node.storage.stage(request);
        if node.syncing == 0 {
            self.start_sync(id, jitter);
        }
    }

    /// Group commit: one sync covers what is staged when it starts.
    fn start_sync(&mut self, id: NodeId, jitter: Millis) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.syncing = node.storage.unsynced();
        if node.syncing > 0 {
            let (delay, life) = (jitter + node.slow_disk_ms, node.life);
            self.at(delay, Event::Synced { id, life });
        }
    }

    fn synced(&mut self, id: NodeId) {
        let jitter = self.random.below(4);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let ticket = node.storage.sync_some(node.syncing);
        self.start_sync(id, jitter);
        if let Some(ticket) = ticket {
            self.step(id, Input::Persisted { ticket });
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        if self.cut.contains(&(from, to)) || self.random.below(1000) < self.loss_permille {
            return;
        }
        let copies = 1 + u64::from(self.random.below(1000) < self.late_permille);
        for _ in 0..copies {
            let mut delay = 1 + self.random.below(3);
            if self.random.below(1000) < self.late_permille {
                delay += self.random.below(3 * self.settings.election_timeout_ms);
            }
            self.at(delay, Event::Deliver { to, bytes: message.to_bytes() });
        }
    }

    fn apply(&mut self, id: NodeId, entry: &LogEntry) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if entry.index != node.applied + 1 {
            let detail = format!("member {id} applies {} after {}", entry.index, node.applied);
            self.checker.report(Rule::StateMachineSafety, detail);
        }
        node.applied = entry.index;
        node.digest = chain(node.digest, entry);
        let digest = node.digest;
        let Some(replica) = &node.replica else { return };
        let (term, membership) = (replica.term(), replica.membership().clone());
        if self.checker.applied(id, term, entry, digest) {
            let on_disk = |id: &&NodeId| self.nodes.get(id).is_some_and(|n| n.holds(entry));
            let holders = membership.voters.keys().filter(on_disk).count();
            self.checker.durable_on(entry, holders, membership.quorum());
        }
        if self.waiting.remove(&(entry.index, entry.term)).is_some() {
            self.answered += 1;
        }
    }

    fn check_leases(&mut self) {
        let now = self.now;
        let leading = |n: &&Node| n.replica.as_ref().is_some_and(Replica::is_leader);
        let holds = |n: &Node| n.replica.as_ref().is_some_and(|r| r.has_lease(n.clock(now)));
        let holders: Vec<_> = self.nodes.values().filter(leading).filter(|n| holds(n)).map(|n| n.id).collect();
        self.checker.leases(&holders);
    }

    fn offer_load(&mut self) {
        if !self.load {
            return;
        }
        let delay = 5 + self.random.below(30);
        self.at(delay, Event::Load);
        for _ in 0..1 + self.random.below(3) {
            self.propose();
        }
    }

    /// Offers a command to whoever leads.
    pub fn propose(&mut self) {
        let Some(id) = self.leader() else { return };
        self.token += 1;
        let mut command = self.token.to_be_bytes().to_vec();
        command.resize(8 + self.random.below(60) as usize, 1);
        self.step(id, Input::Propose { token: self.token, command });
    }

    /// Ends all trouble, then wants a new command applied by every member.
    pub fn heal_and_check(&mut self, patience: Millis) {
        self.chaos = false;
        self.load = false;
        (self.loss_permille, self.late_permille) = (0, 0);
        self.cut.clear();
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in &ids {
            if let Some(node) = self.nodes.get_mut(id) {
                node.slow_disk_ms = 0;
                node.frozen_until = min(node.frozen_until, self.now);
            }
            self.start(*id);
        }
        self.run_until(self.now + patience);
        let before = self.checker.committed.len();
        self.propose();
        self.run_until(self.now + self.settings.election_timeout_ms * 2);
        let Some(leader) = self.leader() else {
            self.checker.report(Rule::Liveness, "no leader after healing".into());
            return;
        };
        if self.checker.committed.len() <= before {
            self.checker.report(Rule::Liveness, "nothing committed after healing".into());
        }
        self.check_members(leader);
    }

    fn check_members(&mut self, leader: NodeId) {
        let Some(replica) = self.nodes.get(&leader).and_then(|n| n.replica.as_ref()) else {
            return;
        };
        let (members, last) = (replica.membership().clone(), replica.commit_index());
        let tip = self.checker.committed.get(&last).map(|(_, digest, _)| *digest);
        for (id, _) in members.members() {
            let Some(node) = self.nodes.get(&id).filter(|n| !n.lost) else {
                continue;
            };
            if node.replica.is_none() {
                continue;
            }
            if node.applied != last || Some(node.digest) != tip {
                let detail = format!("member {id} applied {} of {last}", node.applied);
                self.checker.report(Rule::Liveness, detail);
            }
        }
    }

    /// One line a machine, for a seed that shows a fault.
    pub fn describe(&self) -> String {
        let mut lines = String::new();
        for node in self.nodes.values() {
            let (id, lost, applied, syncing) = (node.id, node.lost, node.applied, node.syncing);
            lines += &format!("\n{id}: lost {lost}, applied {applied}, syncing {syncing}");
            if let Some(r) = &node.replica {
                let members = r.membership();
                lines += &format!(
                    ", {:?} term {} last {}/{} durable {} commit {} leader {:?} voters {:?} learners {:?}",
                    r.role(),
                    r.term(),
                    r.last_index(),
                    r.log().last_term(),
                    r.durable_index(),
                    r.commit_index(),
                    r.leader_hint(),
                    members.voters.keys(),
                    members.learners.keys(),
                );
            }
        }
        lines
    }
}
