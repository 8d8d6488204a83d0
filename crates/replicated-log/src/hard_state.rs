use crate::prelude::*;

/// What must outlive a crash besides the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HardState {
    /// The newest term seen.
    #[n(0)]
    pub term: Term,
    /// Whom this member voted for in it.
    #[n(1)]
    pub voted_for: Option<NodeId>,
}
