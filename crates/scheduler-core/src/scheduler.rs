use crate::prelude::*;

/// Who waits for the answer to a command: the channel and its ask.
pub type Waiter = Option<(ChannelId, u64)>;

/// The scheduler without I/O: the replicated log, the folded state, placement, and the sessions with gateways.
///
/// An executor feeds it inputs and carries out its effects in order; the simulator is such an executor too.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) replica: Replica<ChaCha8Rng>,
    pub(crate) ledger: Ledger,
    pub(crate) sessions: BTreeMap<ChannelId, GatewaySession>,
    /// Frames of gateways that wait for the lease.
    pub(crate) held: VecDeque<HeldFrame>,
    /// Commands to propose.
    pub(crate) inbox: VecDeque<QueuedCommand>,
    pub(crate) flights: BTreeMap<u64, BatchInLog>,
    pub(crate) batch: u64,
    /// Why the log refused the batch that is being proposed.
    pub(crate) refused: Option<ProposeError>,
    /// Since when each live gateway of the log was heard by this leader.
    pub(crate) heard: BTreeMap<Name, (u64, Millis)>,
    /// The term this one leads, and whether its first entry is applied.
    pub(crate) leading: Option<(u64, bool)>,
    pub(crate) launched_at: Millis,
    pub(crate) halted: bool,
    pub(crate) dirty: bool,
    /// How far gateways have been told the news.
    pub(crate) flushed: FlushProgress,
    pub(crate) planned_at: Millis,
    /// How long placement pauses after its last round: the longer, the more that cost.
    pub(crate) planning_pause_ms: Millis,
    pub(crate) planner_memory: PlannerMemory,
    pub(crate) peers: BTreeMap<u64, PeerMember>,
    pub(crate) greeted_at: Option<Millis>,
    pub(crate) repaired_at: Millis,
    /// Since when this leader has known each member as one.
    pub(crate) member_since: BTreeMap<u64, Millis>,
    pub(crate) led_since: Millis,
    pub(crate) seed: u64,
    pub(crate) wall: SteadyClock,
    pub(crate) effects: Vec<SchedulerEffect>,
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
    /// Rounds that were cut short because they had cost enough.
    pub rounds_cut: u64,
    /// Starts planned.
    pub planned: u64,
    /// What the rounds cost.
    pub looks: RoundLooks,
    /// Attempts that were to make room for urgent work.
    pub preempted: u64,
    /// Updates sent to gateways.
    pub updates: u64,
    /// Whole views sent to gateways that named no view.
    pub first_views: u64,
    /// Whole views sent to gateways whose view the journal doesn't reach back to.
    pub overtaken_views: u64,
    /// Batches that the log did not take.
    pub batches_shed: u64,
    /// Facts of gateways' reports that stood in such a batch: they are put in the log later.
    pub facts_shed: u64,
    /// Commands without a caller that were dropped.
    pub commands_dropped: u64,
    /// Peers' frames that could not be read.
    pub malformed: u64,
    /// Membership changes proposed by repair.
    pub repairs: u64,
}

/// The hold interval before any rules are in the log.
const FIRST_HOLD_INTERVAL_MS: Millis = 1_000;
/// The wall clock is agreed anew when it is off by more than this part of a hold interval.
const WALL_PART: u64 = 10;

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
            held: VecDeque::new(),
            inbox: VecDeque::new(),
            flights: BTreeMap::new(),
            batch: 0,
            refused: None,
            heard: BTreeMap::new(),
            leading: None,
            launched_at: 0,
            halted: false,
            dirty: true,
            flushed: FlushProgress::default(),
            planned_at: 0,
            planning_pause_ms: 0,
            planner_memory: PlannerMemory::default(),
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
            SchedulerInput::Tick { wall_ms, read_to } => {
                let wall_ms = self.wall.read(now, wall_ms);
                self.drive(now, Input::Tick { wall_ms });
                self.tick(now, read_to);
            }
            SchedulerInput::Peer(b) => self.peer(now, &b),
            SchedulerInput::Persisted(ticket) => self.drive(now, Input::Persisted { ticket }),
            SchedulerInput::GatewayUp(_) => {}
            SchedulerInput::Call { call, time_budget_ms, body } => self.call(now, call, time_budget_ms, *body),
            SchedulerInput::Leave => self.leave(now),
            SchedulerInput::Gateway { channel, arrived_at, frame } => self.gateway(now, channel, arrived_at, *frame),
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
                Effect::Shed { token, error } => {
                    if self.flights.contains_key(&token) {
                        self.refused = Some(error);
                    }
                }
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

    pub(crate) fn install(&mut self, s: &Snapshot) {
        let state = match s.bytes.is_empty() {
            true => ClusterState::new(ClusterRules::new(FIRST_HOLD_INTERVAL_MS)),
            false => ClusterState::from_bytes(&s.bytes),
        };
        match state {
            Ok(state) => self.ledger = Ledger::new(state),
            Err(e) => self.halt(HaltReason::Snapshot { index: s.index, source: e }),
        }
    }

    pub(crate) fn apply(&mut self, now: Millis, e: LogEntry) {
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
        let answers = self.ledger.apply(e.log_time, batch);
        if !mine {
            return;
        }
        let Some(batch) = self.flights.remove(&number) else { return };
        for (origin, answer) in batch.origins.iter().zip(answers) {
            if let (Some(waiter), Some(answer)) = (origin.waiter, answer) {
                self.answer(waiter, answer);
            }
        }
        self.facts_applied(&batch);
    }

    /// Facts of gateways' reports are applied.
    fn facts_applied(&mut self, batch: &BatchInLog) {
        let mut channels = BTreeSet::new();
        for part in batch.origins.iter().filter_map(|origin| origin.report) {
            if let Some(session) = self.sessions.get_mut(&part.channel) {
                session.fact_applied(part.report);
                channels.insert(part.channel);
            }
        }
        channels.into_iter().for_each(|channel| self.acknowledge_reports(channel));
    }

    pub(crate) fn answer(&mut self, w: (ChannelId, u64), result: CallResult<AnswerBody>) {
        self.counters.answers += 1;
        self.counters.shed += u64::from(matches!(result, Err(CallError::Shed { .. })));
        match w {
            (OWN_PROCESS, call) => self.effects.push(SchedulerEffect::Answer { call, result: Box::new(result) }),
            (channel, request) => self.send_gateway(channel, SchedulerFrame::Answer { request, result }),
        }
    }

    pub(crate) fn lost_leadership(&mut self) {
        self.leading = None;
        self.end_own_calls();
        let frame = self.not_leader();
        let mut channels: BTreeSet<ChannelId> = std::mem::take(&mut self.sessions).into_keys().collect();
        channels.extend(std::mem::take(&mut self.held).into_iter().map(|held| held.channel));
        for c in channels {
            self.send_gateway(c, frame.clone());
        }
        self.effects.push(SchedulerEffect::Leading(None));
    }

    /// Calls that came in here wait for nothing any more: what is in the log may yet be done, what isn't never will.
    pub(crate) fn end_own_calls(&mut self) {
        let hint = self.settings.log.election_timeout_ms;
        let own = |w: &Waiter| w.filter(|w| w.0 == OWN_PROCESS);
        let flights = std::mem::take(&mut self.flights);
        for w in flights.values().flat_map(|f| &f.origins).filter_map(|origin| own(&origin.waiter)) {
            self.answer(w, Err(CallError::TimeBudgetSpent { retry_after_ms: hint }));
        }
        let inbox = std::mem::take(&mut self.inbox);
        for w in inbox.iter().filter_map(|queued| own(&queued.origin.waiter)) {
            self.answer(w, Err(CallError::NoLeader { retry_after_ms: hint }));
        }
    }

    /// A call that came in at this process itself.
    pub(crate) fn call(&mut self, now: Millis, call: u64, time_budget_ms: Millis, body: CallBody) {
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

    pub(crate) fn ask(&mut self, now: Millis, w: (ChannelId, u64), until: Millis, body: CallBody) {
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
                    CallDecision::Answer(Ok(AnswerBody::ExplainJob(mut explained))) => {
                        let state = &self.ledger.state;
                        let number = state.job(&explained.name).map_or(0, |job| job.number);
                        explained.reasons.extend(self.planner_memory.explain(number, state.tables.log_time));
                        self.answer(w, Ok(AnswerBody::ExplainJob(explained)));
                    }
                    CallDecision::Answer(a) => self.answer(w, a),
                    CallDecision::Propose(c) => self.propose(now, c, Some(w), until),
                    CallDecision::Member(id, change) => self.change_member(now, w, id, change),
                    CallDecision::Transfer(id) => self.transfer(now, w, id),
                }
            }
        }
    }

    /// The wall clock for timed jobs. Once agreed through the log it goes on by cluster time: a quorum's clocks can hold it
    /// back, but only those of all voters move it ahead, so that clocks that jumped move no job early even after their
    /// machines' restarts.
    pub(crate) fn agreed_wall(&mut self, now: Millis, body: &CallBody) -> Option<Millis> {
        if !matches!(body, CallBody::SubmitJob(c) if c.spec.not_before_unix_ms.is_some() || c.spec.repeat.is_some()) {
            return None;
        }
        let quorum = self.replica.wall_clock_floor(now)?;
        let log_time_ms = self.replica.log_time(now);
        let carried = self.ledger.state.tables.unix_at_zero_ms.map(|z| z + log_time_ms);
        let wall_ms = carried.map_or(quorum, |c| quorum.min(c.max(self.replica.wall_clock_of_all(now).unwrap_or(0))));
        if carried.is_none_or(|c| c.abs_diff(wall_ms) > self.settings.hold_interval_ms / WALL_PART) {
            self.propose(now, Command::WallClock { wall_ms, log_time_ms }, None, Millis::MAX);
        }
        Some(wall_ms)
    }

    /// The leader's regular duties. A gateway is silent when nothing of it had arrived among what has been read: what a leader
    /// that is behind hasn't read yet may be its word.
    pub(crate) fn tick(&mut self, now: Millis, read_to: Millis) {
        self.greet(now);
        if !self.is_serving(now) {
            return;
        }
        self.put_rules(now, 0);
        let silent: Vec<(Name, u64)> = self
            .heard
            .iter()
            .filter(|(_, h)| read_to.saturating_sub(h.1) > self.settings.gateway_silence_ms)
            .map(|(n, h)| (n.clone(), h.0))
            .collect();
        for (name, instance) in silent {
            self.heard.remove(&name);
            self.propose(now, Command::GatewayLost { name, instance }, None, Millis::MAX);
        }
        if self.inbox.is_empty() && self.flights.is_empty() && self.ledger.has_due(self.replica.log_time(now)) {
            self.propose(now, Command::Advance, None, Millis::MAX);
        }
        self.repair(now);
    }

    /// Puts the rules of this leader's settings in the log, when they are others. A scheduler without a word on how many
    /// should vote leaves that as it is.
    pub(crate) fn put_rules(&mut self, now: Millis, more_voters: u64) {
        let rules = &self.ledger.state.tables.rules;
        let hold_interval_ms = self.settings.hold_interval_ms;
        let stated = self.settings.stated_voters().filter(|_| rules.voters == 0 || self.settings.most_voters == 0);
        let voters = stated.unwrap_or(rules.voters) + more_voters;
        let (gang_wait_ms, first_class_ms) = (self.settings.gang_wait_ms, self.settings.first_class_ms);
        let fold_version = rules.fold_version.max(NEWEST_FOLD_VERSION);
        let in_force = (rules.hold_interval_ms, rules.voters, rules.gang_time_budget_ms, rules.first_class_ms, rules.fold_version);
        let known = in_force == (hold_interval_ms, voters, gang_wait_ms, first_class_ms, fold_version);
        if !known && self.flights.is_empty() && self.inbox.is_empty() {
            let rules = Command::Rules { hold_interval_ms, voters, gang_wait_ms, first_class_ms, fold_version };
            self.propose(now, rules, None, Millis::MAX);
        }
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
