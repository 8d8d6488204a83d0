//! Changes of membership, one member at a time.

use crate::prelude::*;

impl<R: RandomSource> Replica<R> {
    /// The last membership known to be committed; an uncommitted one may be undone.
    pub(crate) fn committed_members(&self) -> &Membership {
        self.members.at(self.commit)
    }

    /// Puts our role in line with the membership. A vote counts as lost only once
    /// that is committed: until then the member may be the only one that can win,
    /// since it alone may hold the entry that removes it. A leader leads on as long.
    pub(crate) fn refresh_role(&mut self) {
        let voter = self.membership().is_voter(self.id) || self.committed_members().is_voter(self.id);
        if self.role != Role::Leader {
            self.shift(if voter { RoleEvent::VoteGained } else { RoleEvent::VoteLost });
        }
    }

    /// Puts the list of fed members in line with the membership in force.
    pub(crate) fn sync_progress(&mut self) {
        let members = self.members.latest();
        self.progress.retain(|id, _| members.is_member(*id));
        let (next, now) = (self.log.last_index() + 1, self.now);
        for (id, _) in members.members().filter(|(id, _)| *id != self.id) {
            self.progress.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(crate) fn propose_membership(&mut self, change: &MembershipChange) -> Result<Index, ProposeError> {
        self.ensure_leading()?;
        let term = self.term;
        let ready = self.log.term_at(self.commit) == Some(term);
        ensure!(ready, crate::propose_error::TermNotCommittedSnafu { term });
        let index = self.members.latest_index();
        ensure!(index <= self.commit, crate::propose_error::ChangeInFlightSnafu { index });
        let next = self.membership().changed(change)?;
        if let MembershipChange::Promote { id } = change {
            let matched = self.progress.get(id).map_or(0, |p| p.match_index);
            let behind = self.log.last_index() - matched;
            let near = behind <= self.settings.caught_up_entries && matched > 0;
            ensure!(near, crate::propose_error::NotCaughtUpSnafu { id: *id, behind });
        }
        Ok(self.append_own(LogEntryBody::Membership(next)))
    }

    /// A removed leader goes once its removal is committed.
    pub(crate) fn leave_when_removed(&mut self) {
        let voter = self.membership().is_voter(self.id);
        if self.role == Role::Leader && !voter && self.membership_committed() {
            self.shift(RoleEvent::VoteLost);
        }
    }
}
