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
    /// Whether this member was elected in it. After a restart nobody else can hold the lease of that term.
    #[n(2)]
    #[cbor(default)]
    pub led: bool,
}
