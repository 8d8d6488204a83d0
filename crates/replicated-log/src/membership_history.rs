use crate::prelude::*;

/// The memberships of the log in memory, so that a truncated one can be undone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipHistory {
    /// Index and membership, rising; never empty.
    versions: Vec<(Index, Membership)>,
}

impl MembershipHistory {
    /// A history that starts from the membership of a snapshot.
    pub fn new(index: Index, base: Membership) -> Self {
        Self { versions: vec![(index, base)] }
    }

    /// Notes an appended entry; says whether it held a membership.
    pub fn append(&mut self, entry: &LogEntry) -> bool {
        if let LogEntryBody::Membership(m) = &entry.body {
            self.versions.push((entry.index, m.clone()));
            return true;
        }
        false
    }

    /// Undoes what stood at or past the index; the base stays.
    pub fn truncate_from(&mut self, index: Index) -> bool {
        let before = self.versions.len();
        while self.versions.len() > 1 && self.latest_index() >= index {
            self.versions.pop();
        }
        before != self.versions.len()
    }

    /// Forgets what is older than the one in force at the index.
    pub fn compact_to(&mut self, index: Index) {
        let keep = self.versions.iter().rposition(|(i, _)| *i <= index).unwrap_or(0);
        self.versions.drain(..keep);
    }

    /// The membership in force: the last appended, committed or not.
    pub fn latest(&self) -> &Membership {
        &self.versions[self.versions.len() - 1].1
    }

    /// Where the membership in force was appended.
    pub fn latest_index(&self) -> Index {
        self.versions[self.versions.len() - 1].0
    }

    /// The membership in force at an index.
    pub fn at(&self, index: Index) -> &Membership {
        let place = self.versions.iter().rposition(|(i, _)| *i <= index).unwrap_or(0);
        &self.versions[place].1
    }
}
