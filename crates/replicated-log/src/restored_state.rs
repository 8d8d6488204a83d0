use crate::prelude::*;

/// What a storage gives back at start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries in order; the first may lie at or before the snapshot.
    pub entries: Vec<LogEntry>,
}

impl RestoredState {
    /// The first state of the first members of a new cluster: an empty snapshot
    /// at index 0 that holds the membership. Every one of them must get the same.
    pub fn founding(membership: Membership) -> Self {
        let snapshot = Snapshot { index: 0, term: 0, log_time: 0, membership, bytes: Vec::new() };
        Self { snapshot: Some(snapshot), ..Self::default() }
    }

    /// The first state of a member that joins a running cluster: nothing at all.
    pub fn joining() -> Self {
        Self::default()
    }

    /// Whether nothing was ever stored.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The write that stores this state in an empty storage.
    pub fn as_request(&self) -> PersistRequest {
        PersistRequest {
            ticket: 0,
            hard_state: Some(self.hard_state),
            truncate_from: None,
            entries: self.entries.clone(),
            snapshot: self.snapshot.clone().map(Arc::new),
            compact_to: None,
        }
    }
}
