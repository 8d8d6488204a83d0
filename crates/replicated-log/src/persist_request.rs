use crate::prelude::*;

/// One atomic write. A storage applies, in this order: the snapshot, the
/// truncation, the entries, the compaction, the hard state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PersistRequest {
    /// Number of the write; acknowledged by `Input::Persisted`.
    pub ticket: Ticket,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Forget stored entries from this index on.
    pub truncate_from: Option<Index>,
    /// Store these.
    pub entries: Vec<LogEntry>,
    /// Replace the stored snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Forget stored entries up to and with this index.
    pub compact_to: Option<Index>,
}

impl PersistRequest {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
            && self.snapshot.is_none()
            && self.compact_to.is_none()
    }
}
