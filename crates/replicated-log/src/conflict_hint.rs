use crate::prelude::*;

/// Why an append did not fit, so that the leader can step back a term at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ConflictHint {
    /// The `prev_index` that did not fit.
    #[n(0)]
    pub prev_index: Index,
    /// The member's term at that place; none when its log is shorter.
    #[n(1)]
    pub term: Option<Term>,
    /// First index of that term, or one past the member's last.
    #[n(2)]
    pub index: Index,
}
