use crate::prelude::*;

/// Why a snapshot of the history could not be read.
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[serde(tag = "error", rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum SnapshotError {
    /// The bytes are no snapshot.
    #[snafu(display("the bytes are no snapshot: {reason}"))]
    Unreadable {
        /// The decoder's words.
        reason: String,
    },
    /// The tree in it is invalid.
    #[snafu(display("the tree of the snapshot is invalid: {faults}"))]
    InvalidTree {
        /// All of its faults.
        #[serde(flatten)]
        faults: SettingFaults,
    },
    /// The tree in it is not the one that its digest names.
    #[snafu(display("the tree of the snapshot has digest {found}, named is {named}"))]
    OtherDigest {
        /// The digest in the snapshot.
        named: TreeDigest,
        /// The digest of the tree.
        found: TreeDigest,
    },
}
