use crate::prelude::*;

/// Another scheduler, as it told of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerMember {
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: Name,
    /// Whether it holds anything of a cluster.
    pub formed: bool,
    /// Whether it takes itself for a member.
    pub member: bool,
    /// When it was last heard.
    pub heard_at: Millis,
}

/// Greetings, in election timeouts.
const GREET_TIMEOUTS: u64 = 1;
/// Looks at the membership in one election timeout, while the leader serves.
const REPAIRS_A_TIMEOUT: u64 = 4;
/// Voters that are added together, so that their number stays odd.
const VOTERS_MORE: u64 = 2;
/// A peer that greeted longer ago than this many election timeouts isn't counted on.
const FRESH_TIMEOUTS: u64 = 3;

impl Scheduler {
    /// Where a member is reached.
    pub(crate) fn address_of(&self, id: u64) -> Option<String> {
        let m = self.replica.membership();
        let known = m.voters.get(&id).or_else(|| m.learners.get(&id)).map(|a| a.endpoint.clone());
        known.or_else(|| self.peers.get(&id).map(|p| p.address.clone()))
    }

    /// Whether this one holds anything of a cluster.
    fn is_formed(&self) -> bool {
        self.replica.membership().members().next().is_some() || self.replica.last_index() > 0
    }

    /// Whether this one is a member, as far as it knows.
    fn is_member(&self) -> bool {
        self.replica.membership().is_member(self.replica.id())
    }

    fn hello(&self, wants_answer: bool) -> PeerFrame {
        PeerFrame::Hello {
            cluster: self.settings.cluster.clone(),
            id: self.replica.id(),
            address: self.settings.address.clone(),
            zone: self.settings.zone.clone(),
            formed: self.is_formed(),
            member: self.is_member(),
            leader: self.replica.leader_hint().and_then(|l| self.address_of(l)),
            wants_answer,
        }
    }

    /// A frame of another scheduler.
    pub(crate) fn peer(&mut self, now: Millis, b: &[u8]) {
        match PeerFrame::from_bytes(b) {
            Ok(PeerFrame::Log(m)) => self.drive(now, Input::Wire(m)),
            Ok(PeerFrame::Hello { cluster, id, address, zone, formed, member, leader, wants_answer }) => {
                if cluster != self.settings.cluster || id == self.replica.id() {
                    return;
                }
                if self.is_serving(now) && self.replica.membership().retired.contains(&id) {
                    self.send_peer(address, &PeerFrame::Retired { cluster, id });
                    return;
                }
                if wants_answer {
                    let hello = self.hello(false);
                    self.send_peer(address.clone(), &hello);
                }
                if let Some(l) = leader.filter(|l| !self.is_member() && *l != address && *l != self.settings.address) {
                    let hello = self.hello(true);
                    // The elected one must hear of a newcomer, whoever it asked first.
                    if self.peers.get(&id).is_none_or(|p| now > p.heard_at) {
                        self.send_peer(l, &hello);
                    }
                }
                // One process an address: an older id at it is gone for good.
                self.peers.retain(|i, p| *i == id || p.address != address);
                self.peers.insert(id, PeerMember { address, zone, formed, member, heard_at: now });
                self.found(now);
            }
            Ok(PeerFrame::Retired { cluster, id }) if cluster == self.settings.cluster && id == self.replica.id() => self.retire(),
            Ok(PeerFrame::Retired { .. }) => {}
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// This id was removed from the members and never returns: only a new one may join.
    fn retire(&mut self) {
        if !self.is_member() || self.replica.leader_hint().is_none() {
            self.halt(HaltReason::Retired { id: self.replica.id() });
        }
    }

    /// Makes itself known to the seeds while it is no member.
    pub(crate) fn greet(&mut self, now: Millis) {
        let every = GREET_TIMEOUTS * self.settings.log.election_timeout_ms;
        // A member that hears of nobody who leads may have been removed meanwhile: it asks.
        let settled = self.is_member() && self.replica.leader_hint().is_some();
        if settled || self.greeted_at.is_some_and(|at| now < at + every) {
            return;
        }
        self.greeted_at = Some(now);
        let hello = self.hello(true);
        let mut to: BTreeSet<String> = self.settings.seeds.iter().chain(&self.settings.founders).cloned().collect();
        to.remove(&self.settings.address);
        for address in to {
            self.send_peer(address, &hello);
        }
        self.found(now);
    }

    /// Founds the cluster: only the founder with the lowest address does, and only when every founder says, lately, that it is new. A
    /// machine that lost its disk finds the others formed, and joins as a new member instead.
    fn found(&mut self, now: Millis) {
        // The lowest address, so that the order of the list on each machine doesn't matter.
        if self.is_formed() || self.settings.founders.iter().min() != Some(&self.settings.address) {
            return;
        }
        let fresh = FRESH_TIMEOUTS * self.settings.log.election_timeout_ms;
        let id = self.replica.id();
        let mut voters = vec![(id, MemberAddress::new(self.settings.address.clone(), self.settings.zone.clone()))];
        for f in self.settings.founders.iter().filter(|f| **f != self.settings.address) {
            let peer = self.peers.iter().find(|(_, p)| p.address == *f && !p.formed && now <= p.heard_at + fresh);
            let Some((i, p)) = peer else { return };
            voters.push((*i, MemberAddress::new(p.address.clone(), p.zone.clone())));
        }
        // As the first entry, so that the other founders get it as they get every entry.
        let body = LogEntryBody::Membership(Membership::of_voters(voters));
        let founding = RestoredState { entries: vec![LogEntry { term: 0, index: 1, log_time: 0, body }], ..RestoredState::joining() };
        // Ordered before all later writes, so that nothing leaves that a restart would not remember.
        self.persist(founding.as_request());
        let random = ChaCha8Rng::seed_from_u64(self.seed);
        self.replica = Replica::new(self.settings.log.clone(), self.settings.cluster_id(), id, founding, now, random);
    }

    /// Keeps the membership whole by itself: a machine that lost its disk comes back as a new member and takes the place of
    /// its old self; a voter that stays silent is replaced by a spare that has caught up. One change at a time.
    pub(crate) fn repair(&mut self, now: Millis) {
        let t = self.settings.log.election_timeout_ms;
        if now < self.repaired_at + t / REPAIRS_A_TIMEOUT || !self.replica.membership_committed() {
            return;
        }
        self.repaired_at = now;
        let members: Vec<u64> = self.replica.membership().members().map(|m| m.0).collect();
        self.member_since.retain(|id, _| members.contains(id));
        for id in members {
            self.member_since.entry(id).or_insert(now);
        }
        if self.may_grow(now) {
            self.put_rules(now, VOTERS_MORE);
            return;
        }
        if let Some(change) = self.next_repair(now) {
            self.counters.repairs += 1;
            self.drive(now, Input::ProposeMembership { token: 0, change });
        }
    }

    /// Whether all voters are there, and spares for two more.
    fn may_grow(&self, now: Millis) -> bool {
        let m = self.replica.membership();
        let wanted = self.ledger.state.tables.rules.voters;
        let spares = m.learners.keys().filter(|id| self.caught_up(**id, now)).count() as u64;
        let whole = m.voters.len() as u64 == wanted && m.voters.keys().all(|id| self.silent_ms(*id, now) < self.settings.member_silence_ms);
        whole && spares >= VOTERS_MORE && wanted + VOTERS_MORE <= self.settings.most_voters
    }

    /// How long a member has been silent.
    fn silent_ms(&self, id: u64, now: Millis) -> Millis {
        if id == self.replica.id() {
            return 0;
        }
        let heard = self.replica.progress_of(id).and_then(|p| p.acked_sent_at);
        // One that was never heard has been silent since it became a member, not since this leader leads.
        let since = self.member_since.get(&id).copied().unwrap_or(now);
        now.saturating_sub(heard.unwrap_or(since))
    }

    /// Whether a member has nearly the whole log and was heard of late.
    fn caught_up(&self, id: u64, now: Millis) -> bool {
        let fresh = FRESH_TIMEOUTS * self.settings.log.election_timeout_ms;
        let p = self.replica.progress_of(id);
        let near = p.is_some_and(|p| p.match_index + self.settings.log.caught_up_entries >= self.replica.last_index());
        near && self.silent_ms(id, now) < fresh
    }

    /// The next change that repair wants.
    fn next_repair(&self, now: Millis) -> Option<MembershipChange> {
        let m = self.replica.membership();
        let fresh = FRESH_TIMEOUTS * self.settings.log.election_timeout_ms;
        let own = self.replica.id();
        let silent = |id: u64| self.silent_ms(id, now);
        // Who stands at an address that another, newer member stands at too: its disk is gone.
        let replaced = |id: u64, endpoint: &str| {
            let newer = |(i, a): (u64, &MemberAddress)| i != id && a.endpoint == endpoint && silent(i) < silent(id);
            m.members().any(newer)
        };

        // By the log, not by this one's settings: a newcomer that leads may not know how many there should be.
        let wanted = match self.ledger.state.tables.rules.voters {
            0 => m.voters.len(),
            n => n as usize,
        };
        // Newcomers first: a new process at a member's address, or a spare where voters are missing or silent.
        for (id, p) in self.peers.iter().filter(|(_, p)| !p.member && now <= p.heard_at + fresh) {
            if !m.is_member(*id) && !m.retired.contains(id) {
                let address = MemberAddress::new(p.address.clone(), p.zone.clone());
                return Some(MembershipChange::AddLearner { id: *id, address });
            }
        }
        let gone: Vec<u64> = m
            .voters
            .iter()
            .filter(|(id, a)| **id != own && (replaced(**id, &a.endpoint) || silent(**id) > self.settings.member_silence_ms))
            .map(|(id, _)| *id)
            .collect();
        let ready = m.learners.keys().copied().find(|id| self.caught_up(*id, now));
        // More voters before fewer: at no time is there one copy less than there could be.
        if let Some(id) = ready.filter(|_| m.voters.len() - gone.len() < wanted) {
            return Some(MembershipChange::Promote { id });
        }
        if let Some(&id) = gone.iter().find(|_| m.voters.len() > wanted) {
            return Some(MembershipChange::Remove { id });
        }
        let lost = m.learners.iter().find(|(id, a)| replaced(**id, &a.endpoint) && silent(**id) > fresh);
        lost.map(|(id, _)| MembershipChange::Remove { id: *id })
    }

    /// An operator's change of the members.
    pub(crate) fn change_member(&mut self, now: Millis, w: (ChannelId, u64), id: u64, change: MembershipChange) {
        let result = self.replica.membership().changed(&change);
        let result = match result {
            Ok(_) if !self.replica.membership_committed() => {
                Err(CallError::Shed { limit: "one membership change at a time".to_owned(), retry_after_ms: self.settings.hold_interval_ms })
            }
            Ok(_) => {
                self.drive(now, Input::ProposeMembership { token: 0, change });
                Ok(AnswerBody::RemoveMember(MemberChanged { id }))
            }
            Err(e) => Err(CallError::NotAllowed { name: id.to_string(), reason: e.to_string() }),
        };
        self.answer(w, result);
    }

    /// An operator's handing over of leadership.
    pub(crate) fn transfer(&mut self, now: Millis, w: (ChannelId, u64), id: u64) {
        let result = match self.replica.membership().is_voter(id) {
            true => Ok(AnswerBody::TransferLeadership(MemberChanged { id })),
            false => Err(CallError::NotFound { what: "voter".to_owned(), name: id.to_string() }),
        };
        let go = result.is_ok();
        self.answer(w, result);
        if go {
            self.drive(now, Input::TransferLeadership { token: 0, to: id });
        }
    }

    /// Hands leadership to the voter that has most of the log, before the process ends.
    pub(crate) fn leave(&mut self, now: Millis) {
        if !self.replica.is_leader() {
            return;
        }
        let own = self.replica.id();
        let voters = self.replica.membership().voters.keys().copied().filter(|id| *id != own);
        let best = voters.max_by_key(|id| self.replica.progress_of(*id).map(|p| (p.acked_sent_at, p.match_index)));
        if let Some(to) = best {
            self.drive(now, Input::TransferLeadership { token: 0, to });
        }
    }

    /// The schedulers, as the leader sees them.
    pub(crate) fn members(&self, now: Millis) -> MemberList {
        let m = self.replica.membership();
        let line = |(id, a): (u64, &MemberAddress)| {
            let own = id == self.replica.id();
            let p = self.replica.progress_of(id);
            MemberSummary {
                id,
                address: a.endpoint.clone(),
                role: if m.is_voter(id) { "voter" } else { "learner" }.to_owned(),
                leader: own,
                matched: if own { self.replica.durable_index() } else { p.map_or(0, |p| p.match_index) },
                silent_ms: if own { Some(0) } else { p.and_then(|p| p.acked_sent_at).map(|at| now.saturating_sub(at)) },
                zone: a.site.clone(),
            }
        };
        let mut members: Vec<MemberSummary> = m.members().map(line).collect();
        members.sort_by_key(|m| m.id);
        MemberList { term: self.replica.term(), members }
    }

    /// The cluster, as the leader sees it.
    pub(crate) fn status(&self, now: Millis) -> ClusterStatus {
        let s = &self.ledger.state;
        let held = |name: &Name| s.tables.workers.values().filter(|w| w.gateway.as_ref() == Some(name)).count() as u32;
        let gateways = s.tables.gateways.iter().map(|(name, g)| GatewaySummary {
            name: name.clone(),
            zone: g.zone.clone(),
            http_address: g.http_address.clone(),
            workers: held(name),
            alive: g.alive,
        });
        ClusterStatus {
            cluster: self.settings.cluster.clone(),
            leader: self.replica.id(),
            leader_address: self.settings.address.clone(),
            term: self.replica.term(),
            commit_index: self.replica.commit_index(),
            log_time_ms: self.replica.log_time(now),
            configuration_version: s.configuration.version(),
            jobs: s.tables.jobs.len() as u64,
            waiting_tasks: s.tables.jobs.values().map(|j| u64::from(j.summary.tasks.waiting)).sum(),
            attempts: s.tables.attempts.len() as u64,
            evacuated_zones: s.tables.evacuated.iter().cloned().collect(),
            gateways: gateways.collect(),
            workers: s.tables.workers.len() as u64,
            state_digest: s.digest(),
        }
    }
}
