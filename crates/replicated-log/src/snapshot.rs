use crate::prelude::*;

/// The state machine at an index, and what the log needs to go on from there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Snapshot {
    /// Last entry it covers.
    #[n(0)]
    pub index: Index,
    /// Term of that entry.
    #[n(1)]
    pub term: Term,
    /// Cluster clock of that entry.
    #[n(2)]
    pub log_time: Millis,
    /// Membership in force there.
    #[n(3)]
    pub membership: Membership,
    /// The state machine's own bytes.
    #[cbor(n(4), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}
