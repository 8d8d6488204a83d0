use crate::prelude::*;

/// One member's share of the log: a state machine without clock, socket or disk.
///
/// ```
/// use replicated_log::prelude::*;
/// let home = MemberAddress::new("127.0.0.1:7000", "a");
/// let founding = RestoredState::founding(Membership::of_voters([(1, home)]));
/// let random = ChaCha8Rng::seed_from_u64(1);
/// let mut replica = Replica::new(LogSettings::default(), 7, 1, founding, 0, random);
/// // After at most two election timeouts a lone member runs, and asks for its vote to be stored.
/// let mut effects = replica.step(2000, Input::Tick { wall_ms: 0 });
/// while let Some(Effect::Persist(request)) = effects.first().cloned() {
///     effects = replica.step(2000, Input::Persisted { ticket: request.ticket });
/// }
/// assert!(replica.is_leader() && replica.lease_valid(2000));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica<R: RandomSource> {
    pub(crate) settings: LogSettings,
    pub(crate) cluster: ClusterId,
    pub(crate) id: NodeId,
    pub(crate) random: R,
    pub(crate) now: Millis,
    /// Our wall clock, and when we learned it.
    pub(crate) wall: Option<(Millis, Millis)>,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeId>,
    /// Whether this member was elected in `term`, be it before a restart.
    pub(crate) led: bool,
    /// Set at the start of a member that led the newest term it knows, until it has run or hears of another leader.
    pub(crate) reclaims: bool,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    /// When a leader was last heard; the start counts, since what was promised
    /// to a leader before a crash is not remembered.
    pub(crate) leader_heard_at: Option<Millis>,
    pub(crate) election_due: Millis,
    pub(crate) log: LogTail,
    pub(crate) members: MembershipHistory,
    pub(crate) commit: Index,
    /// Last index whose entry is synced here.
    pub(crate) durable: Index,
    /// Writes not acknowledged yet, and the index each makes durable.
    pub(crate) unsynced: VecDeque<(Ticket, Index)>,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) incoming: Option<SnapshotTransfer>,
    pub(crate) votes: BTreeSet<NodeId>,
    pub(crate) self_vote_ticket: Ticket,
    /// As a candidate: when the votes were last asked for, and whether the lease before is surely over.
    pub(crate) votes_asked: (Millis, bool),
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) leader_since: Millis,
    /// The next leader, and when we give up waiting for it to catch up.
    pub(crate) handover: Option<(NodeId, Millis)>,
    /// A reading of the cluster clock, and when it held.
    pub(crate) log_time_anchor: (Millis, Millis),
    pub(crate) uncommitted_bytes: usize,
    pub(crate) bytes_since_snapshot: usize,
    pub(crate) outbox: Outbox,
    pub(crate) counters: Counters,
}

impl<R: RandomSource> Replica<R> {
    /// A replica that goes on from what its storage gave back.
    pub fn new(settings: LogSettings, cluster: ClusterId, id: NodeId, restored: RestoredState, now: Millis, random: R) -> Self {
        let RestoredState { hard_state, snapshot, entries } = restored;
        let (index, term, log_time, membership) = match &snapshot {
            Some(s) => (s.index, s.term, s.log_time, s.membership.clone()),
            None => (0, 0, 0, Membership::default()),
        };
        let mut log = LogTail::new(index, term, log_time);
        let mut members = MembershipHistory::new(index, membership);
        let reaches = entries.last().is_some_and(|e| e.index >= index);
        for entry in entries.into_iter().filter(|_| reaches) {
            if entry.index <= index && log.last_index() == index && log.base_index() == index {
                // The kept tail starts before the snapshot: its first entry is the base.
                log = LogTail::new(entry.index, entry.term, entry.log_time);
                continue;
            }
            if entry.index > index {
                members.append(&entry);
            }
            log.push(entry);
        }
        let mut replica = Self {
            cluster,
            id,
            random,
            now,
            wall: None,
            term: hard_state.term,
            voted_for: hard_state.voted_for,
            led: hard_state.led,
            reclaims: hard_state.led,
            role: RoleChart::embedded().initial,
            leader: None,
            leader_heard_at: Some(now),
            election_due: now,
            durable: log.last_index(),
            log_time_anchor: (log.last_log_time(), now),
            log,
            members,
            commit: index,
            unsynced: VecDeque::new(),
            snapshot: snapshot.map(Arc::new),
            incoming: None,
            votes: BTreeSet::new(),
            self_vote_ticket: 0,
            votes_asked: (now, false),
            progress: BTreeMap::new(),
            leader_since: now,
            handover: None,
            uncommitted_bytes: 0,
            bytes_since_snapshot: 0,
            outbox: Outbox::default(),
            counters: Counters::default(),
            settings,
        };
        replica.reset_election_due();
        replica.refresh_role();
        replica
    }

    /// Handles one input. `now` is the machine's monotonic clock; a value below an
    /// earlier one counts as the earlier one.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        self.now = max(self.now, now);
        self.check_quorum();
        match input {
            Input::Tick { wall_ms } => self.tick(wall_ms),
            Input::Message(message) => self.receive(message),
            Input::Wire(bytes) => match Message::from_bytes(&bytes) {
                Ok(message) => self.receive(message),
                Err(error) => self.counters.count_message_error(&error),
            },
            Input::Propose { token, command } => {
                let outcome = self.propose(command);
                self.answer(token, outcome);
            }
            Input::ProposeMembership { token, change } => {
                let outcome = self.propose_membership(&change);
                self.answer(token, outcome);
            }
            Input::TransferLeadership { token, to } => match self.start_handover(to) {
                Ok(()) => self.outbox.push(Effect::TransferStarted { token }),
                Err(error) => self.answer(token, Err(error)),
            },
            Input::Persisted { ticket } => self.persisted(ticket),
            Input::SnapshotMade { index, bytes } => self.snapshot_made(index, bytes),
        }
        self.settle();
        self.outbox.finish()
    }

    fn tick(&mut self, wall_ms: Millis) {
        self.wall = Some((wall_ms, self.now));
        let runs = matches!(self.role, Role::Follower | Role::PreCandidate | Role::Candidate);
        if runs && self.now >= self.election_due {
            self.start_pre_vote();
        }
        self.reclaim_lead();
        self.ask_votes_again();
    }

    fn answer(&mut self, token: Token, outcome: Result<Index, ProposeError>) {
        let effect = match outcome {
            Ok(index) => Effect::Proposed { token, index, term: self.term },
            Err(error) => {
                self.counters.shed += 1;
                Effect::Shed { token, error }
            }
        };
        self.outbox.push(effect);
    }

    fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        self.ensure_leading()?;
        let (bytes, limit) = (command.len(), self.settings.max_command_bytes);
        ensure!(bytes <= limit, crate::propose_error::TooLargeSnafu { bytes, limit });
        let held = self.uncommitted_bytes;
        let room = held + bytes <= self.settings.max_uncommitted_bytes;
        ensure!(room, crate::propose_error::OverloadedSnafu { bytes: held });
        Ok(self.append_own(LogEntryBody::Command(command)))
    }

    pub(crate) fn ensure_leading(&self) -> Result<(), ProposeError> {
        let hint = self.leader;
        ensure!(self.role == Role::Leader, crate::propose_error::NotLeaderSnafu { hint });
        if let Some((to, _)) = self.handover {
            return crate::propose_error::TransferringSnafu { to }.fail();
        }
        Ok(())
    }

    fn persisted(&mut self, ticket: Ticket) {
        self.outbox.persisted(ticket);
        let synced = self.outbox.synced();
        while self.unsynced.front().is_some_and(|(t, _)| *t <= synced) {
            if let Some((_, index)) = self.unsynced.pop_front() {
                self.durable = max(self.durable, index);
            }
        }
    }

    /// Whatever follows from a changed state, after each input.
    fn settle(&mut self) {
        self.count_votes();
        if self.role == Role::Leader {
            self.advance_commit();
            self.feed_members();
            self.finish_handover();
            self.leave_when_removed();
        }
    }

    pub(crate) fn receive(&mut self, message: Message) {
        let Message { cluster, from, to, term, body } = message;
        if cluster != self.cluster {
            self.counters.other_cluster += 1;
            return;
        }
        if to != self.id || from == self.id {
            self.counters.misrouted += 1;
            return;
        }
        let asks = matches!(body, MessageBody::Vote { .. } | MessageBody::PreVote { .. });
        if asks && self.committed_members().retired.contains(&from) {
            self.counters.stale += 1;
            return;
        }
        let ignores = matches!(body, MessageBody::Vote { transfer: false, .. });
        if ignores && term > self.term && self.leader_lives() {
            self.counters.votes_ignored += 1;
            return;
        }
        let released = matches!(body, MessageBody::Vote { transfer: true, .. });
        if released && term > self.term {
            // Whatever lease we helped to carry was of a term before this one: of the sender's own, which is over, or of one
            // before that, which its election waited out.
            self.leader_heard_at = None;
        }
        if term > self.term && !matches!(body, MessageBody::PreVote { .. }) {
            self.enter_term(term);
        }
        let current = term == self.term;
        match body {
            MessageBody::PreVote { next_term, last_index, last_term } => {
                self.on_pre_vote(from, next_term, last_index, last_term);
            }
            MessageBody::Vote { last_index, last_term, .. } => {
                self.on_vote(from, current, last_index, last_term);
            }
            MessageBody::Append(_) | MessageBody::SnapshotChunk(_) if !current => {
                self.counters.stale += 1;
                // Only the term matters: it tells a leader of old that it is one.
                let ack = AppendAck { sent_at: 0, match_index: 0, conflict: None, wall_ms: None };
                self.send(from, Gate::HardState, MessageBody::AppendAck(ack));
            }
            // A voter that is behind in terms may grant all the same.
            MessageBody::PreVoteReply { next_term, granted } => {
                self.on_pre_vote_reply(from, next_term, granted);
            }
            _ if !current => self.counters.stale += 1,
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted),
            MessageBody::Append(append) => self.on_append(from, append),
            MessageBody::AppendAck(ack) => self.on_append_ack(from, ack),
            MessageBody::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            MessageBody::SnapshotAck(ack) => self.on_snapshot_ack(from, &ack),
            MessageBody::TimeoutNow => self.on_timeout_now(from),
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, gate: Gate, body: MessageBody) {
        let message = Message { cluster: self.cluster, from: self.id, to, term: self.term, body };
        self.outbox.send(gate, message);
    }

    /// Follows the role chart; an event it lacks is counted and changes nothing.
    pub(crate) fn shift(&mut self, event: RoleEvent) -> bool {
        let Some(next) = RoleChart::embedded().next(self.role, event) else {
            self.counters.illegal_transitions += 1;
            return false;
        };
        if self.role == Role::Leader && next != Role::Leader {
            self.progress.clear();
            self.handover = None;
            self.leader = None;
            self.leader_heard_at = None;
            self.outbox.push(Effect::LostLeadership { term: self.term });
        }
        self.role = next;
        true
    }

    pub(crate) fn stage_hard_state(&mut self) {
        self.outbox.request.hard_state = Some(self.hard_state());
    }

    /// Notes that the write of this step makes the log durable up to its end.
    pub(crate) fn note_unsynced(&mut self) {
        self.unsynced.push_back((self.outbox.current_ticket(), self.log.last_index()));
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let entries: Vec<_> = self.log.range(self.commit + 1, index).cloned().collect();
        let bytes: usize = entries.iter().map(LogEntry::size).sum();
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        self.commit = index;
        self.outbox.push(Effect::Commit { entries });
        self.refresh_role();
        let before = self.bytes_since_snapshot / self.settings.snapshot_after_bytes;
        self.bytes_since_snapshot += bytes;
        if self.bytes_since_snapshot / self.settings.snapshot_after_bytes > before {
            self.outbox.push(Effect::SnapshotDue { index });
        }
    }

    /// The cluster clock, in ms: never later than the leader's own, and never
    /// earlier than the last entry.
    pub fn log_time(&self, now: Millis) -> Millis {
        let (reading, at) = self.log_time_anchor;
        max(self.log.last_log_time(), reading + now.saturating_sub(at))
    }

    /// Takes the last entry's time as our reading. A leader's own entries change nothing unless they are ahead; another
    /// leader's count even when ours is ahead, else the cluster clock would jump by the time that its entries took to
    /// get here, and a timed job would start early.
    pub(crate) fn anchor_log_time(&mut self) {
        let (reading, at) = self.log_time_anchor;
        let last = self.log.last_log_time();
        if self.role != Role::Leader || last > reading + (self.now - at) {
            self.log_time_anchor = (last, self.now);
        }
    }

    /// Whether a quorum acknowledged messages sent so lately that nobody else
    /// can have been elected.
    pub fn has_lease(&self, now: Millis) -> bool {
        let stamp = self.quorum_stamp(max(now, self.now));
        let lease = self.settings.lease_ms();
        self.role == Role::Leader && stamp.is_some_and(|s| max(now, self.now) < s + lease)
    }

    /// Whether state may be answered from here: the lease holds, and an entry of
    /// this term is committed, so that nothing committed earlier is missing.
    pub fn lease_valid(&self, now: Millis) -> bool {
        self.has_lease(now) && self.log.term_at(self.commit) == Some(self.term)
    }

    /// The latest wall clock time that a quorum's clocks have all reached; a
    /// minority of clocks that jumped ahead can't move it ahead.
    pub fn wall_clock_floor(&self, now: Millis) -> Option<Millis> {
        self.wall_clock_of(now, self.membership().quorum())
    }

    /// The latest wall clock time that all voters' clocks have reached, where all
    /// are known.
    pub fn wall_clock_of_all(&self, now: Millis) -> Option<Millis> {
        self.wall_clock_of(now, self.membership().voters.len())
    }

    /// The latest wall clock time that so many voters' clocks have all reached.
    fn wall_clock_of(&self, now: Millis, many: usize) -> Option<Millis> {
        let read = |(wall, at): (Millis, Millis)| {
            let age = now.saturating_sub(at);
            (age <= self.settings.wall_clock_ms()).then_some(wall + age)
        };
        let of = |id: &NodeId| match *id == self.id {
            true => self.wall.and_then(read),
            false => self.progress.get(id).and_then(|p| p.wall).and_then(read),
        };
        let voters = &self.membership().voters;
        let mut walls: Vec<_> = voters.keys().filter_map(of).collect();
        walls.sort_unstable_by(|a, b| b.cmp(a));
        (self.role == Role::Leader).then(|| walls.get(many.checked_sub(1)?).copied()).flatten()
    }

    /// When a tick is next needed, whatever else happens.
    pub fn next_wake(&self) -> Millis {
        match self.role {
            Role::Leader => {
                let last = self.progress.values().map(|p| p.last_sent_at).min();
                last.unwrap_or(self.now) + self.settings.heartbeat_ms
            }
            _ => max(self.election_due, self.now + 1),
        }
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, voted_for: self.voted_for, led: self.led }
    }

    /// This member.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this replica leads, perhaps without a lease.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader as far as known.
    pub fn leader_hint(&self) -> Option<NodeId> {
        self.leader
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Last committed index; its entries have been handed out.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Last index in memory.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Last index that is synced here.
    pub fn durable_index(&self) -> Index {
        self.durable
    }

    /// The entries in memory.
    pub fn log(&self) -> &LogTail {
        &self.log
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// The membership in force: the last appended, committed or not.
    pub fn membership(&self) -> &Membership {
        self.members.latest()
    }

    /// Whether the membership in force is committed.
    pub fn membership_committed(&self) -> bool {
        self.members.latest_index() <= self.commit
    }

    /// What the leader knows of a member.
    pub fn progress_of(&self, id: NodeId) -> Option<&Progress> {
        self.progress.get(&id)
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What was counted since the last taking.
    pub fn take_counters(&mut self) -> Counters {
        std::mem::take(&mut self.counters)
    }
}
