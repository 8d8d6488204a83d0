use crate::prelude::*;

/// Entries from a leader; without entries it is the heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Append {
    /// Place before the first entry.
    #[n(0)]
    pub prev_index: Index,
    /// Term at that place.
    #[n(1)]
    pub prev_term: Term,
    /// What the leader knows to be committed.
    #[n(2)]
    pub commit: Index,
    /// The leader's own clock at sending; the acknowledgement echoes it.
    #[n(3)]
    pub sent_at: Millis,
    /// Entries after `prev_index`.
    #[n(4)]
    pub entries: Vec<LogEntry>,
}
