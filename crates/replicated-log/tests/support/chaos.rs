use crate::support::prelude::*;

impl World {
    fn any_node(&mut self) -> NodeId {
        let ids: Vec<_> = self.nodes.values().filter(|n| !n.lost).map(|n| n.id).collect();
        ids[self.random.below(ids.len() as u64) as usize]
    }

    /// One trouble, and the date of the next.
    pub fn make_chaos(&mut self) {
        if !self.chaos {
            return;
        }
        let delay = 20 + self.random.below(120);
        self.at(delay, Event::Chaos);
        let timeout = self.settings.election_timeout_ms;
        let (a, b) = (self.any_node(), self.any_node());
        match self.random.below(16) {
            0 => drop(self.cut.insert((a, b))),
            1 => self.cut.extend([(a, b), (b, a)]),
            2 => {
                let others: Vec<_> = self.nodes.keys().copied().collect();
                self.cut.extend(others.iter().flat_map(|o| [(a, *o), (*o, a)]));
            }
            3 | 4 => self.cut.clear(),
            5 => self.crash_later_start(a),
            6 => {
                let (whole, cut) = (self.random.below(3), self.random.below(40));
                if let Some(node) = self.nodes.get_mut(&a).filter(|n| n.replica.is_some()) {
                    node.storage.tear(whole as usize, cut as usize);
                }
                self.crash_later_start(a);
            }
            7 if self.random.below(4) == 0 => {
                let ids: Vec<_> = self.nodes.keys().copied().collect();
                ids.into_iter().for_each(|id| self.crash_later_start(id));
            }
            8 => {
                let until = self.now + self.random.below(5 * timeout);
                // Leaders are the ones worth freezing.
                let id = self.leader().unwrap_or(a);
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.frozen_until = until;
                }
            }
            9 => {
                let slow = self.random.below(2) * self.random.below(timeout);
                if let Some(node) = self.nodes.get_mut(&a) {
                    node.slow_disk_ms = slow;
                }
            }
            10 => {
                self.loss_permille = self.random.below(2) * self.random.below(200);
                self.late_permille = self.random.below(2) * self.random.below(200);
            }
            11 => self.step_leader(Input::TransferLeadership { token: 0, to: a }),
            12 => {
                let jump = self.random.below(1_000_000);
                if let Some(node) = self.nodes.get_mut(&a) {
                    node.wall_jump = jump;
                }
            }
            _ => self.change_members(a),
        }
    }

    fn crash_later_start(&mut self, id: NodeId) {
        self.crash(id);
        let delay = self.random.below(4 * self.settings.election_timeout_ms);
        self.at(delay, Event::Restart { id });
    }

    fn step_leader(&mut self, input: Input) {
        if let Some(id) = self.leader() {
            self.transfers += u64::from(matches!(input, Input::TransferLeadership { .. }));
            self.step(id, input);
        }
    }

    /// A membership as some live leader sees it, if committed there.
    fn settled_members(&self) -> Option<Membership> {
        let replica = self.nodes.get(&self.leader()?)?.replica.as_ref()?;
        replica.membership_committed().then(|| replica.membership().clone())
    }

    fn change(&mut self, change: MembershipChange) {
        self.changes += 1;
        self.step_leader(Input::ProposeMembership { token: 0, change });
    }

    /// Adds, promotes, removes; loses a disk when the last lost one is replaced.
    fn change_members(&mut self, some: NodeId) {
        let Some(members) = self.settled_members() else {
            return;
        };
        let replaced = |id: &NodeId| !members.is_member(*id) && members.voters.len() >= 3;
        if self.lost.as_ref().is_some_and(replaced) {
            self.lost = None;
        }
        if let Some(id) = self.lost.filter(|id| members.is_member(*id)) {
            return self.change(MembershipChange::Remove { id });
        }
        if let Some(id) = members.learners.keys().next().copied() {
            return self.change(MembershipChange::Promote { id });
        }
        if members.voters.len() < 3 || self.random.below(3) == 0 && members.voters.len() < 5 {
            return self.join(&members);
        }
        let safe = self.lost.is_none() && members.voters.len() >= 3 && members.is_voter(some);
        if safe && self.random.below(2) == 0 {
            self.lose_disk(some);
        } else if members.voters.len() > 3 && members.is_voter(some) {
            self.change(MembershipChange::Remove { id: some });
        }
    }

    fn join(&mut self, members: &Membership) {
        // An earlier newcomer that never got in is offered again.
        let unknown = |id: &NodeId| !members.is_member(*id) && !members.retired.contains(id);
        let id = match self.nodes.keys().copied().find(unknown) {
            Some(id) => id,
            None => {
                let id = self.next_id;
                self.next_id += 1;
                self.add_node(id, RestoredState::joining());
                id
            }
        };
        self.change(MembershipChange::AddLearner { id, address: home(id) });
    }

    fn lose_disk(&mut self, id: NodeId) {
        self.lost = Some(id);
        self.crash(id);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.lost = true;
        }
    }
}
