use crate::prelude::*;

/// Who waits for the answer to a command: the channel and its ask.
pub type Waiter = Option<(ChannelId, u64)>;

/// A batch in the log that isn't applied yet.
#[derive(Clone, Debug, Default)]
struct Flight {
    waiters: Vec<Waiter>,
    starts: bool,
}

/// The scheduler without I/O: the replicated log, the folded state, placement, and the sessions with gateways.
///
/// An executor feeds it inputs and carries out its effects in order; the simulator is such an executor too.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) replica: Replica<ChaCha8Rng>,
    pub(crate) ledger: Ledger,
    pub(crate) sessions: BTreeMap<ChannelId, GatewaySession>,
    /// Commands to propose, each with who waits for it, and until when.
    inbox: VecDeque<(Command, Waiter, Millis)>,
    flights: BTreeMap<u64, Flight>,
    batch: u64,
    /// Since when each live gateway of the log was heard by this leader.
    heard: BTreeMap<Name, (u64, Millis)>,
    /// The term this one leads, and whether its first entry is applied.
    leading: Option<(u64, bool)>,
    launched_at: Millis,
    halted: bool,
    dirty: bool,
    planned_at: Millis,
    rack_waits: RackWaits,
    pub(crate) peers: BTreeMap<u64, PeerMember>,
    pub(crate) greeted_at: Option<Millis>,
    pub(crate) repaired_at: Millis,
    /// Since when this leader has known each member as one.
    pub(crate) member_since: BTreeMap<u64, Millis>,
    pub(crate) led_since: Millis,
    pub(crate) seed: u64,
    wall: SteadyClock,
    effects: Vec<SchedulerEffect>,
    /// What was counted, for the metrics page.
    pub counters: SchedulerCounters,
}

/// What a scheduler counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerCounters {
    /// Entries applied.
    pub entries: u64,
    /// Commands applied.
    pub commands: u64,
    /// Entries that could not be read: always an error of the build.
    pub unreadable: u64,
    /// Calls answered.
    pub answers: u64,
    /// Calls shed.
    pub shed: u64,
    /// Rounds of placement.
    pub rounds: u64,
    /// Starts planned.
    pub planned: u64,
    /// Attempts that were to make room for urgent work.
    pub preempted: u64,
    /// Updates sent to gateways.
    pub updates: u64,
    /// Peers' frames that could not be read.
    pub malformed: u64,
    /// Membership changes proposed by repair.
    pub repairs: u64,
}

/// The hold interval before any rules are in the log.
const FIRST_HOLD_INTERVAL_MS: Millis = 1_000;
/// Commands in the inbox at most.
const INBOX_COMMANDS: usize = 8_192;
/// Batches in the log that aren't applied, at most: with two, one is written while the next gathers.
const FLIGHTS: usize = 2;
/// Entries in one hold interval when they come singly.
const LAUNCHES_A_HOLD: u64 = 40;
/// Commands in one batch at most.
const BATCH_COMMANDS: usize = 256;
/// Starts planned in one round at most.
const ROUND_STARTS: usize = 256;
/// After this part of a gateway's silence its channel is given up, by the gateway as well.
const STALE_PART: u64 = 2;
/// A gateway whose channel broke has this part of a silence to attach again.
const REATTACH_PART: u64 = 4;
/// The wall clock is agreed anew when it is off by more than this part of a hold interval.
const WALL_PART: u64 = 10;
/// Rounds of placement in one hold interval when nothing changed.
const IDLE_ROUNDS_A_HOLD: u64 = 4;

impl Scheduler {
    /// A scheduler that goes on from what its storage gave back. `id` is its data folder's own.
    pub fn new(settings: SchedulerSettings, id: u64, restored: RestoredState, now: Millis, seed: u64) -> Result<Self, StateError> {
        // All begin alike; the first leader puts its settings' rules in the log.
        let rules = ClusterRules::new(FIRST_HOLD_INTERVAL_MS);
        let state = match &restored.snapshot {
            Some(s) if !s.bytes.is_empty() => ClusterState::from_bytes(&s.bytes)?,
            _ => ClusterState::new(rules)?,
        };
        let replica = Replica::new(settings.log.clone(), settings.cluster_id(), id, restored, now, ChaCha8Rng::seed_from_u64(seed));
        Ok(Scheduler {
            settings,
            replica,
            ledger: Ledger::new(state),
            sessions: BTreeMap::new(),
            inbox: VecDeque::new(),
            flights: BTreeMap::new(),
            batch: 0,
            heard: BTreeMap::new(),
            leading: None,
            launched_at: 0,
            halted: false,
            dirty: true,
            planned_at: 0,
            rack_waits: RackWaits::default(),
            peers: BTreeMap::new(),
            greeted_at: None,
            repaired_at: now,
            member_since: BTreeMap::new(),
            led_since: now,
            seed,
            wall: SteadyClock::default(),
            effects: Vec::new(),
            counters: SchedulerCounters::default(),
        })
    }

    /// The replicated log.
    pub fn replica(&self) -> &Replica<ChaCha8Rng> {
        &self.replica
    }

    /// The folded state.
    pub fn state(&self) -> &ClusterState {
        &self.ledger.state
    }

    /// The newest events.
    pub fn journal(&self) -> &Journal {
        &self.ledger.journal
    }

    /// Whether it leads, has applied all that was committed before, and holds its lease.
    pub fn is_serving(&self, now: Millis) -> bool {
        self.leading.is_some_and(|l| l.1) && self.replica.lease_valid(now)
    }

    /// Handles one input; gives the effects in order.
    pub fn step(&mut self, now: Millis, input: SchedulerInput) -> Vec<SchedulerEffect> {
        if self.halted {
            return Vec::new();
        }
        match input {
            SchedulerInput::Tick { wall_ms } => {
                let wall_ms = self.wall.read(now, wall_ms);
                self.drive(now, Input::Tick { wall_ms });
                self.tick(now);
            }
            SchedulerInput::Peer(b) => self.peer(now, &b),
            SchedulerInput::Persisted(ticket) => self.drive(now, Input::Persisted { ticket }),
            SchedulerInput::GatewayUp(_) => {}
            SchedulerInput::Call { call, time_budget_ms, body } => self.call(now, call, time_budget_ms, *body),
            SchedulerInput::Leave => self.leave(now),
            SchedulerInput::Gateway(c, f) => self.gateway(now, c, *f),
            SchedulerInput::GatewayDown(c) => self.gateway_down(now, c),
        }
        self.settle(now);
        std::mem::take(&mut self.effects)
    }

    /// Feeds the replica and carries out what follows.
    pub(crate) fn drive(&mut self, now: Millis, input: Input) {
        let mut todo: VecDeque<Effect> = self.replica.step(now, input).into();
        while let Some(e) = todo.pop_front() {
            match e {
                Effect::Persist(r) => self.effects.push(SchedulerEffect::Persist(r)),
                Effect::Send { to, message } => {
                    if let Some(address) = self.address_of(to) {
                        self.send_peer(address, &PeerFrame::Log(message.to_bytes()));
                    }
                }
                Effect::InstallSnapshot(s) => self.install(&s),
                Effect::Commit { entries } => {
                    for e in entries {
                        self.apply(now, e);
                    }
                }
                Effect::Proposed { .. } | Effect::TransferStarted { .. } => {}
                Effect::Shed { token, error } => self.shed(token, &error),
                Effect::BecameLeader { term } => {
                    self.leading = Some((term, false));
                    self.led_since = now;
                    self.member_since.clear();
                    self.heard = self
                        .ledger
                        .state
                        .tables
                        .gateways
                        .iter()
                        .filter(|(_, g)| g.alive)
                        .map(|(n, g)| (n.clone(), (g.instance, now)))
                        .collect();
                    self.effects.push(SchedulerEffect::Leading(Some(term)));
                }
                Effect::LostLeadership { .. } => self.lost_leadership(),
                Effect::SnapshotDue { index } => {
                    let bytes = self.ledger.state.to_bytes();
                    todo.extend(self.replica.step(now, Input::SnapshotMade { index, bytes }));
                }
            }
        }
    }

    /// A state that lacks an entry is wrong from there on: this scheduler does nothing any more.
    pub(crate) fn halt(&mut self, reason: HaltReason) {
        self.counters.unreadable += u64::from(!matches!(reason, HaltReason::Retired { .. }));
        if !std::mem::replace(&mut self.halted, true) {
            self.effects.push(SchedulerEffect::Halt(Arc::new(reason)));
        }
    }

    fn install(&mut self, s: &Snapshot) {
        let state = match s.bytes.is_empty() {
            true => ClusterState::new(ClusterRules::new(FIRST_HOLD_INTERVAL_MS)),
            false => ClusterState::from_bytes(&s.bytes),
        };
        match state {
            Ok(state) => self.ledger = Ledger::new(state),
            Err(e) => self.halt(HaltReason::Snapshot { index: s.index, source: e }),
        }
    }

    fn apply(&mut self, now: Millis, e: LogEntry) {
        self.counters.entries += 1;
        self.dirty = true;
        let LogEntryBody::Command(bytes) = &e.body else {
            if let Some(l) = self.leading.as_mut().filter(|l| l.0 == e.term) {
                l.1 = true;
                // A gateway that the log holds alive has this leader's whole patience from here on.
                for h in self.heard.values_mut() {
                    h.1 = now;
                }
            }
            return;
        };
        let batch = match CommandBatch::from_bytes(bytes) {
            Ok(b) => b,
            Err(source) => return self.halt(HaltReason::Entry { index: e.index, source }),
        };
        let mine = batch.proposer == self.replica.id() && self.leading.is_some_and(|l| l.0 == e.term);
        let number = batch.number;
        self.counters.commands += batch.commands.len() as u64;
        let answers = self.ledger.apply(e.term, e.log_time, batch);
        if !mine {
            return;
        }
        if let Some(f) = self.flights.remove(&number) {
            for (w, a) in f.waiters.into_iter().zip(answers) {
                if let (Some(w), Some(a)) = (w, a) {
                    self.answer(w, a);
                }
            }
        }
        for (c, s) in &mut self.sessions {
            let mut done = None;
            while let Some(&(b, report)) = s.reports.front().filter(|r| r.0 <= number) {
                debug_assert!(b <= number);
                done = Some(report);
                s.reports.pop_front();
            }
            if let Some(report) = done {
                self.effects.push(SchedulerEffect::Gateway(*c, Box::new(SchedulerFrame::FactsDone { report })));
            }
        }
    }

    pub(crate) fn answer(&mut self, w: (ChannelId, u64), result: CallResult<AnswerBody>) {
        self.counters.answers += 1;
        self.counters.shed += u64::from(matches!(result, Err(CallError::Shed { .. })));
        match w {
            (OWN_PROCESS, call) => self.effects.push(SchedulerEffect::Answer { call, result: Box::new(result) }),
            (channel, request) => self.send_gateway(channel, SchedulerFrame::Answer { request, result }),
        }
    }

    /// A batch did not get into the log: whoever waits may come back.
    fn shed(&mut self, token: u64, error: &ProposeError) {
        let hint = self.settings.log.election_timeout_ms;
        let Some(f) = self.flights.remove(&token) else { return };
        let error = match error {
            ProposeError::Overloaded { .. } => CallError::Shed { limit: "log".to_owned(), retry_after_ms: hint },
            ProposeError::TooLarge { bytes, limit } => {
                CallError::TooLarge { what: "command".to_owned(), size: *bytes as u64, limit: *limit as u64 }
            }
            _ => CallError::NoLeader { retry_after_ms: hint },
        };
        for w in f.waiters.into_iter().flatten() {
            self.answer(w, Err(error.clone()));
        }
        for s in self.sessions.values_mut() {
            // The gateway tells its facts again when it attaches again.
            s.reports.retain(|r| r.0 != token);
        }
    }

    fn lost_leadership(&mut self) {
        self.leading = None;
        self.end_own_calls();
        let frame = self.not_leader();
        for (c, _) in std::mem::take(&mut self.sessions) {
            self.send_gateway(c, frame.clone());
        }
        self.effects.push(SchedulerEffect::Leading(None));
    }

    /// Calls that came in here wait for nothing any more: what is in the log may yet be done, what isn't never will.
    fn end_own_calls(&mut self) {
        let hint = self.settings.log.election_timeout_ms;
        let own = |w: &Waiter| w.filter(|w| w.0 == OWN_PROCESS);
        let flights = std::mem::take(&mut self.flights);
        for w in flights.values().flat_map(|f| &f.waiters).filter_map(own) {
            self.answer(w, Err(CallError::TimeBudgetSpent { retry_after_ms: hint }));
        }
        let inbox = std::mem::take(&mut self.inbox);
        for w in inbox.iter().filter_map(|i| own(&i.1)) {
            self.answer(w, Err(CallError::NoLeader { retry_after_ms: hint }));
        }
    }

    /// A call that came in at this process itself.
    fn call(&mut self, now: Millis, call: u64, time_budget_ms: Millis, body: CallBody) {
        let waiter = (OWN_PROCESS, call);
        match self.is_serving(now) {
            true => self.ask(now, waiter, now + time_budget_ms, body),
            false => self.answer(waiter, Err(CallError::NoLeader { retry_after_ms: self.settings.log.election_timeout_ms })),
        }
    }

    /// Where the elected scheduler is reached, as far as this one knows; its own address when it serves.
    pub fn leader_address(&self, now: Millis) -> Option<String> {
        match self.is_serving(now) {
            true => Some(self.settings.address.clone()),
            false => self.replica.leader_hint().filter(|l| *l != self.replica.id()).and_then(|l| self.address_of(l)),
        }
    }

    /// Who leads, as far as this one knows.
    fn not_leader(&self) -> SchedulerFrame {
        let leader = self.replica.leader_hint().filter(|l| *l != self.replica.id()).and_then(|l| self.address_of(l));
        SchedulerFrame::NotLeader { leader, schedulers: self.addresses() }
    }

    /// The schedulers' addresses.
    fn addresses(&self) -> Vec<String> {
        let mut v: Vec<String> = self.replica.membership().members().map(|m| m.1.endpoint.clone()).collect();
        v.sort_unstable();
        v.dedup();
        v
    }

    /// Puts a command in the inbox.
    pub(crate) fn propose(&mut self, c: Command, w: Waiter, until: Millis) {
        if self.inbox.len() >= INBOX_COMMANDS {
            if let Some(w) = w {
                let retry_after_ms = self.settings.hold_interval_ms;
                self.answer(w, Err(CallError::Shed { limit: "scheduler's inbox".to_owned(), retry_after_ms }));
            }
            return;
        }
        self.inbox.push_back((c, w, until));
    }

    fn gateway(&mut self, now: Millis, c: ChannelId, f: GatewayFrame) {
        if !self.is_serving(now) {
            let frame = self.not_leader();
            self.sessions.remove(&c);
            self.send_gateway(c, frame);
            return;
        }
        if let GatewayFrame::Attach { wire_version, cluster, name, instance, zone, http_address, view, configuration } = f {
            if wire_version != WIRE_VERSION || cluster != self.settings.cluster {
                let error = match wire_version != WIRE_VERSION {
                    true => CallError::UnknownVersion { found: wire_version, wanted: WIRE_VERSION },
                    false => CallError::NotAllowed { name: cluster, reason: "is another cluster".to_owned() },
                };
                self.send_gateway(c, SchedulerFrame::Shed(error));
                return;
            }
            let record = GatewayRecord { instance, zone, http_address, alive: true };
            self.sessions.retain(|_, s| s.name != name);
            let session = GatewaySession {
                name: name.clone(),
                record: record.clone(),
                view,
                ordered: view,
                scanned: view,
                configuration,
                heard_at: now,
                flushed_at: 0,
                reports: VecDeque::new(),
                reported: 0,
            };
            self.sessions.insert(c, session);
            self.heard.insert(name.clone(), (instance, now));
            let log_time_ms = self.replica.log_time(now);
            let attached =
                SchedulerFrame::Attached { node: self.replica.id(), term: self.replica.term(), log_time_ms, schedulers: self.addresses() };
            self.send_gateway(c, attached);
            if self.ledger.state.tables.gateways.get(&name) != Some(&record) {
                let GatewayRecord { instance, zone, http_address, .. } = record;
                self.propose(Command::GatewayAttached { name, instance, zone, http_address }, None, Millis::MAX);
            }
            return;
        }
        let log_time_ms = self.replica.log_time(now);
        // A gateway gives up a channel that was silent for half of this: what comes after was stuck on its way, and an
        // order among it could undo a newer one that came another way.
        let stale = |s: &GatewaySession| now.saturating_sub(s.heard_at) > self.settings.gateway_silence_ms / STALE_PART;
        if self.sessions.get(&c).is_some_and(stale) {
            self.sessions.remove(&c);
        }
        let Some(s) = self.sessions.get_mut(&c) else {
            let frame = self.not_leader();
            self.send_gateway(c, frame);
            return;
        };
        s.heard_at = now;
        let name = s.name.clone();
        if let Some(h) = self.heard.get_mut(&name) {
            h.1 = now;
        }
        match f {
            GatewayFrame::Attach { .. } => {}
            GatewayFrame::Pulse { stamp, .. } => {
                // It may have been given up while it was silent.
                let record = s.record.clone();
                self.send_gateway(c, SchedulerFrame::PulseEcho { stamp, log_time_ms });
                if self.ledger.state.tables.gateways.get(&name) != Some(&record) {
                    let GatewayRecord { instance, zone, http_address, .. } = record;
                    let again = Command::GatewayAttached { name, instance, zone, http_address };
                    if !self.inbox.iter().any(|i| i.0 == again) {
                        self.propose(again, None, Millis::MAX);
                    }
                }
            }
            GatewayFrame::Ask { request, time_budget_ms, body } => self.ask(now, (c, request), now + time_budget_ms, body),
            GatewayFrame::Facts { report, facts } => {
                if report <= s.reported {
                    return;
                }
                s.reported = report;
                // It stands behind all that is in the inbox, so in the batch after those, at the latest in this many.
                self.inbox.extend(facts.into_iter().map(|f| (Command::Facts(f), None, Millis::MAX)));
                let batches = self.inbox.len().div_ceil(BATCH_COMMANDS) as u64;
                if let Some(s) = self.sessions.get_mut(&c) {
                    s.reports.push_back((self.batch + batches.max(1), report));
                }
            }
            GatewayFrame::WantConfiguration => s.configuration = 0,
        }
    }

    fn ask(&mut self, now: Millis, w: (ChannelId, u64), until: Millis, body: CallBody) {
        match body {
            CallBody::ListMembers(_) => {
                let a = AnswerBody::ListMembers(self.members(now));
                self.answer(w, Ok(a));
            }
            CallBody::GetClusterStatus(_) => {
                let a = AnswerBody::GetClusterStatus(self.status(now));
                self.answer(w, Ok(a));
            }
            body => {
                let wall = self.agreed_wall(now, &body);
                match CallDecision::of(&self.ledger.state, body, wall) {
                    CallDecision::Answer(a) => self.answer(w, a),
                    CallDecision::Propose(c) => self.propose(c, Some(w), until),
                    CallDecision::Member(id, change) => self.change_member(now, w, id, change),
                    CallDecision::Transfer(id) => self.transfer(now, w, id),
                }
            }
        }
    }

    /// The wall clock for timed jobs. Once agreed through the log it goes on by cluster time: a quorum's clocks can hold it
    /// back, but only those of all voters move it ahead, so that clocks that jumped move no job early even after their
    /// machines' restarts.
    fn agreed_wall(&mut self, now: Millis, body: &CallBody) -> Option<Millis> {
        if !matches!(body, CallBody::SubmitJob(c) if c.spec.not_before_unix_ms.is_some() || c.spec.repeat.is_some()) {
            return None;
        }
        let quorum = self.replica.wall_clock_floor(now)?;
        let log_time_ms = self.replica.log_time(now);
        let carried = self.ledger.state.tables.unix_at_zero_ms.map(|z| z + log_time_ms);
        let wall_ms = carried.map_or(quorum, |c| quorum.min(c.max(self.replica.wall_clock_of_all(now).unwrap_or(0))));
        if carried.is_none_or(|c| c.abs_diff(wall_ms) > self.settings.hold_interval_ms / WALL_PART) {
            self.propose(Command::WallClock { wall_ms, log_time_ms }, None, Millis::MAX);
        }
        Some(wall_ms)
    }

    /// A gateway's channel is gone: a process that ended won't come back on it, so it has little time left to attach again.
    fn gateway_down(&mut self, now: Millis, c: ChannelId) {
        let Some(s) = self.sessions.remove(&c) else { return };
        let patience = self.settings.gateway_silence_ms / REATTACH_PART;
        if let Some(h) = self.heard.get_mut(&s.name).filter(|h| h.0 == s.record.instance) {
            h.1 = h.1.min((now + patience).saturating_sub(self.settings.gateway_silence_ms));
        }
    }

    /// The leader's regular duties.
    fn tick(&mut self, now: Millis) {
        self.greet(now);
        if !self.is_serving(now) {
            return;
        }
        self.put_rules(0);
        let silent: Vec<(Name, u64)> = self
            .heard
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.1) > self.settings.gateway_silence_ms)
            .map(|(n, h)| (n.clone(), h.0))
            .collect();
        for (name, instance) in silent {
            self.heard.remove(&name);
            self.propose(Command::GatewayLost { name, instance }, None, Millis::MAX);
        }
        if self.inbox.is_empty() && self.flights.is_empty() && self.ledger.has_due(self.replica.log_time(now)) {
            self.propose(Command::Advance, None, Millis::MAX);
        }
        self.repair(now);
    }

    /// Puts the rules of this leader's settings in the log, when they are others. A scheduler without a word on how many
    /// should vote leaves that as it is.
    pub(crate) fn put_rules(&mut self, more_voters: u64) {
        let rules = &self.ledger.state.tables.rules;
        let hold_interval_ms = self.settings.hold_interval_ms;
        let stated = self.settings.stated_voters().filter(|_| rules.voters == 0 || self.settings.most_voters == 0);
        let voters = stated.unwrap_or(rules.voters) + more_voters;
        let (gang_wait_ms, first_class_ms) = (self.settings.gang_wait_ms, self.settings.first_class_ms);
        let told = (rules.hold_interval_ms, rules.voters, rules.gang_time_budget_ms, rules.first_class_ms);
        let known = told == (hold_interval_ms, voters, gang_wait_ms, first_class_ms);
        if !known && self.flights.is_empty() && self.inbox.is_empty() {
            self.propose(Command::Rules { hold_interval_ms, voters, gang_wait_ms, first_class_ms }, None, Millis::MAX);
        }
    }

    /// What follows from a changed state, after each input.
    fn settle(&mut self, now: Millis) {
        if !self.is_serving(now) {
            return;
        }
        self.plan(now);
        // After a pause a command leaves at once; under load they gather, since each entry has its price in messages and
        // syncs.
        let due = now >= self.launched_at + self.settings.hold_interval_ms / LAUNCHES_A_HOLD;
        while !self.inbox.is_empty() && self.flights.len() < FLIGHTS && (due || self.inbox.len() >= BATCH_COMMANDS) {
            self.launch(now);
        }
        self.flush(now);
    }

    /// Placement: one round at a time, each over what the last one brought about.
    fn plan(&mut self, now: Millis) {
        let idle = self.settings.hold_interval_ms / IDLE_ROUNDS_A_HOLD;
        let due = self.dirty || now >= self.planned_at + idle;
        let busy = self.flights.values().any(|f| f.starts) || self.inbox.iter().any(|c| matches!(c.0, Command::Start { .. }));
        if !due || busy || self.ledger.state.ready.is_empty() {
            return;
        }
        self.dirty = false;
        self.planned_at = now;
        self.counters.rounds += 1;
        let log_time = self.replica.log_time(now);
        let PlannedRound { starts, victims, held } = StartPlanner::new(&self.ledger.state, log_time, ROUND_STARTS, &self.rack_waits).plan();
        self.rack_waits.settle(log_time, &held);
        if !victims.is_empty() {
            self.counters.preempted += victims.len() as u64;
            self.inbox.push_back((Command::Preempt(victims), None, Millis::MAX));
        }
        for (starts, gang) in starts {
            self.counters.planned += starts.len() as u64;
            self.inbox.push_back((Command::Start { starts, gang }, None, Millis::MAX));
        }
    }

    /// Proposes the next batch: all starts of a round stay in order behind what came before.
    fn launch(&mut self, now: Millis) {
        self.batch += 1;
        self.launched_at = now;
        let n = self.inbox.len().min(BATCH_COMMANDS);
        let mut flight = Flight::default();
        let mut commands = Vec::with_capacity(n);
        let first: Vec<_> = self.inbox.drain(..n).collect();
        for (c, w, until) in first {
            if let Some(w) = w.filter(|_| now >= until) {
                // Its caller has gone: nothing of it is in the log.
                self.answer(w, Err(CallError::TimeBudgetSpent { retry_after_ms: self.settings.hold_interval_ms }));
                continue;
            }
            flight.starts |= matches!(c, Command::Start { .. });
            commands.push(c);
            flight.waiters.push(w);
        }
        let batch = CommandBatch { proposer: self.replica.id(), number: self.batch, commands };
        self.flights.insert(self.batch, flight);
        let (token, command) = (self.batch, batch.to_bytes());
        self.drive(now, Input::Propose { token, command });
    }

    /// News to the gateways.
    fn flush(&mut self, now: Millis) {
        let last = self.ledger.journal.last();
        for (c, s) in &mut self.sessions {
            let stale = s.view != last || s.configuration != self.ledger.state.configuration.version();
            if !stale || last == 0 {
                continue;
            }
            let news = self.ledger.journal.since(s.scanned).filter(|_| s.ordered > 0);
            let wanted = match news {
                Some(events) => s.wanted_flush(&self.ledger.state, events),
                None => Flush::Orders,
            };
            let due = wanted == Flush::All || now >= s.flushed_at + self.settings.view_flush_ms();
            if !due && wanted == Flush::Later {
                s.scanned = last;
                continue;
            }
            // Orders and ends of jobs go at once; other news of jobs gathers until it is due.
            for u in self.ledger.updates(&s.name, s.record.instance, (s.view, s.ordered), s.configuration, due) {
                if let Some(c) = &u.configuration {
                    s.configuration = c.version;
                }
                s.view = u.upto.max(s.view);
                self.counters.updates += 1;
                self.effects.push(SchedulerEffect::Gateway(*c, Box::new(SchedulerFrame::Update(u))));
            }
            (s.ordered, s.scanned) = (last, last);
            if due {
                s.flushed_at = now;
            }
        }
    }

    /// Sends a frame to a gateway.
    fn send_gateway(&mut self, to: ChannelId, frame: SchedulerFrame) {
        self.effects.push(SchedulerEffect::Gateway(to, Box::new(frame)));
    }

    /// Sends a frame to another scheduler.
    pub(crate) fn send_peer(&mut self, address: String, f: &PeerFrame) {
        self.effects.push(SchedulerEffect::Peer { address, bytes: f.to_bytes() });
    }

    /// Carries out a write that the replica did not ask for.
    pub(crate) fn persist(&mut self, r: PersistRequest) {
        self.effects.push(SchedulerEffect::Persist(r));
    }
}
