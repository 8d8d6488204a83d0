use crate::prelude::*;

/// A change that is remembered by its id.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RememberedChange {
    /// Its id.
    #[n(0)]
    pub change_id: String,
    /// The version it made.
    #[n(1)]
    pub version: u64,
    /// The digest of its tree.
    #[n(2)]
    pub digest: TreeDigest,
}

/// The stored form of a [`ConfigurationHistory`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HistorySnapshot {
    /// The version in force.
    #[n(0)]
    pub version: u64,
    /// The digest of its tree.
    #[n(1)]
    pub digest: TreeDigest,
    /// The canonical JSON of its tree.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub tree: Vec<u8>,
    /// The remembered changes, oldest first.
    #[n(3)]
    pub changes: Vec<RememberedChange>,
    /// The newest changes with their patches, oldest first.
    #[n(4)]
    pub entries: Vec<HistoryEntry>,
}
