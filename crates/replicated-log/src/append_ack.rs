use crate::prelude::*;

/// A member's answer to an append.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppendAck {
    /// The stamp of the append.
    #[n(0)]
    pub sent_at: Millis,
    /// Last index known to be equal to the leader's and synced.
    #[n(1)]
    pub match_index: Index,
    /// Set when the append did not fit.
    #[n(2)]
    pub conflict: Option<ConflictHint>,
    /// The member's wall clock.
    #[n(3)]
    pub wall_ms: Option<Millis>,
}
