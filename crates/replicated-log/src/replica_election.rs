//! Elections, the lease, and handing leadership over.

use crate::prelude::*;

impl<R: RandomSource> Replica<R> {
    pub(crate) fn reset_election_due(&mut self) {
        let timeout = self.settings.election_timeout_ms;
        self.election_due = self.now + timeout + self.random.below(timeout);
    }

    /// Whether a leader was heard so lately that no vote may be given. Leaders
    /// build their lease on this.
    pub(crate) fn leader_lives(&self) -> bool {
        let timeout = self.settings.election_timeout_ms;
        self.role == Role::Leader || self.leader_heard_at.is_some_and(|at| self.now < at + timeout)
    }

    /// Newest time such that a quorum acknowledged a message sent then or later.
    pub(crate) fn quorum_stamp(&self, now: Millis) -> Option<Millis> {
        let stamp = |id: &NodeId| match *id == self.id {
            true => Some(now),
            false => self.progress.get(id).and_then(|p| p.acked_sent_at),
        };
        let mut stamps: Vec<_> = self.membership().voters.keys().filter_map(stamp).collect();
        stamps.sort_unstable_by(|a, b| b.cmp(a));
        stamps.get(self.membership().quorum() - 1).copied()
    }

    /// A leader that heard no quorum for an election timeout steps down, before
    /// anything else it might do: this is also what a frozen one does on waking.
    pub(crate) fn check_quorum(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let heard = max(self.quorum_stamp(self.now), Some(self.leader_since));
        if heard.is_some_and(|at| self.now >= at + self.settings.election_timeout_ms) {
            self.counters.quorum_lost += 1;
            self.shift(RoleEvent::QuorumLost);
            self.reset_election_due();
        }
    }

    pub(crate) fn enter_term(&mut self, term: Term) {
        self.shift(RoleEvent::HigherTerm);
        self.term = term;
        self.voted_for = None;
        self.led = false;
        self.reclaims = false;
        self.leader = None;
        self.votes.clear();
        self.incoming = None;
        self.stage_hard_state();
    }

    /// Whoever runs lacks entries that we hold, and no lease stands in the way: we run ourselves, after a short random wait.
    fn run_soon(&mut self) {
        let wait = self.random.below(self.settings.heartbeat_ms);
        self.election_due = min(self.election_due, self.now + wait);
    }

    fn up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn may_vote(&self) -> bool {
        !self.committed_members().retired.contains(&self.id)
    }

    fn ask_voters(&mut self, body: &MessageBody) {
        let others: Vec<_> = self.membership().voters.keys().copied().filter(|id| *id != self.id).collect();
        for to in others {
            self.send(to, Gate::HardState, body.clone());
        }
    }

    pub(crate) fn start_pre_vote(&mut self) {
        if !self.shift(RoleEvent::ElectionTimeout) {
            return;
        }
        self.reset_election_due();
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        self.ask_voters(&MessageBody::PreVote { next_term: self.term + 1, last_index, last_term });
    }

    fn campaign(&mut self, event: RoleEvent) {
        if !self.shift(event) {
            return;
        }
        self.counters.campaigns += 1;
        self.reset_election_due();
        self.term += 1;
        self.voted_for = Some(self.id);
        self.led = false;
        self.reclaims = false;
        self.leader = None;
        self.incoming = None;
        self.stage_hard_state();
        self.votes.clear();
        self.self_vote_ticket = self.outbox.current_ticket();
        self.votes_asked = (self.now, matches!(event, RoleEvent::TransferReceived | RoleEvent::LeadReclaimed));
        self.ask_voters(&self.vote_request());
    }

    fn vote_request(&self) -> MessageBody {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        MessageBody::Vote { last_index, last_term, transfer: self.votes_asked.1 }
    }

    /// A member that led the newest term it knows, and was restarted, runs at once: the lease that the others wait out was its
    /// own, and ended with its process. Whoever was elected since has the votes of a quorum in a term no older than the one it
    /// runs in, so it can't win beside them.
    pub(crate) fn reclaim_lead(&mut self) {
        if self.reclaims && self.role == Role::Follower {
            self.leader_heard_at = None;
            self.campaign(RoleEvent::LeadReclaimed);
        }
    }

    /// A vote request may be lost, above all when all members start at once: it is sent again until the run is over.
    pub(crate) fn ask_votes_again(&mut self) {
        if self.role == Role::Candidate && self.now >= self.votes_asked.0 + self.settings.heartbeat_ms {
            self.votes_asked.0 = self.now;
            self.ask_voters(&self.vote_request());
        }
    }

    /// Moves on when a quorum has granted; our own vote counts once it is synced.
    pub(crate) fn count_votes(&mut self) {
        if self.role == Role::Candidate && self.outbox.synced() >= self.self_vote_ticket {
            self.votes.insert(self.id);
        }
        let voters = &self.membership().voters;
        let granted = self.votes.iter().filter(|id| voters.contains_key(id)).count();
        if granted < self.membership().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(RoleEvent::PreVoteWon),
            Role::Candidate => self.lead(),
            _ => {}
        }
    }

    fn lead(&mut self) {
        if !self.shift(RoleEvent::VoteWon) {
            return;
        }
        self.counters.elections_won += 1;
        self.votes.clear();
        self.led = true;
        self.stage_hard_state();
        self.leader = Some(self.id);
        self.leader_since = self.now;
        self.uncommitted_bytes = self.log.range(self.commit + 1, self.log.last_index()).map(LogEntry::size).sum();
        self.sync_progress();
        self.outbox.push(Effect::BecameLeader { term: self.term });
        self.append_own(LogEntryBody::Noop);
    }

    pub(crate) fn on_pre_vote(&mut self, from: NodeId, next_term: Term, last_index: Index, last_term: Term) {
        let granted = next_term > self.term && !self.leader_lives() && self.may_vote() && self.up_to_date(last_index, last_term);
        self.send(from, Gate::HardState, MessageBody::PreVoteReply { next_term, granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: NodeId, next_term: Term, granted: bool) {
        if self.role == Role::PreCandidate && granted && next_term == self.term + 1 {
            self.votes.insert(from);
        }
    }

    pub(crate) fn on_vote(&mut self, from: NodeId, current: bool, last_index: Index, last_term: Term) {
        let granted = current
            && self.role != Role::Leader
            && self.voted_for.is_none_or(|id| id == from)
            && self.may_vote()
            && self.up_to_date(last_index, last_term);
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.stage_hard_state();
            self.reset_election_due();
        }
        if current && self.role == Role::Follower && !self.up_to_date(last_index, last_term) && !self.leader_lives() {
            self.run_soon();
        }
        self.send(from, Gate::HardState, MessageBody::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, granted: bool) {
        if self.role == Role::Candidate && granted {
            self.votes.insert(from);
        }
    }

    pub(crate) fn start_handover(&mut self, to: NodeId) -> Result<(), ProposeError> {
        self.ensure_leading()?;
        let fits = to != self.id && self.membership().is_voter(to);
        ensure!(fits, crate::propose_error::UnknownMemberSnafu { id: to });
        self.handover = Some((to, self.now + self.settings.election_timeout_ms));
        Ok(())
    }

    /// Once the next leader has everything, we give up for good in this term, and
    /// with it the lease; only then may it run while others still heed us.
    pub(crate) fn finish_handover(&mut self) {
        let Some((to, due)) = self.handover else {
            return;
        };
        let caught_up = self.progress.get(&to).is_some_and(|p| p.match_index == self.log.last_index());
        if caught_up {
            self.send(to, Gate::HardState, MessageBody::TimeoutNow);
            self.shift(RoleEvent::Abdicated);
            self.reset_election_due();
        } else if self.now >= due || !self.membership().is_voter(to) {
            self.handover = None;
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId) {
        let runs = matches!(self.role, Role::Follower | Role::PreCandidate);
        if runs && self.leader.is_none_or(|id| id == from) {
            self.campaign(RoleEvent::TransferReceived);
        }
    }
}
