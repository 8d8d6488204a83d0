use crate::prelude::*;

/// Why a change was not applied.
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[serde(tag = "error", rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum PutError {
    /// Another change was applied on that version first.
    #[snafu(display("the change builds on version {base}, the current one is {current}"))]
    RacedBase {
        /// The version in force.
        current: u64,
        /// The version the change builds on.
        base: u64,
    },
    /// The change id belongs to a change with other content.
    #[snafu(display("the change id \"{change_id}\" made version {version}, with other content"))]
    ChangeIdReused {
        /// The id.
        change_id: String,
        /// The version that the first change of this id made.
        version: u64,
        /// The digest of that change's tree.
        digest: TreeDigest,
    },
    /// The change id has no usable form.
    #[snafu(display("a change id has 1 to {most} visible ASCII characters"))]
    BadChangeId {
        /// The greatest length.
        most: usize,
    },
    /// The tree is invalid.
    #[snafu(display("{faults}"))]
    Invalid {
        /// All of its faults.
        #[serde(flatten)]
        faults: SettingFaults,
    },
    /// The tree has more bytes than allowed.
    #[snafu(display("the tree has {found} bytes, at most {most} are allowed"))]
    TooLarge {
        /// The bound in bytes.
        most: u64,
        /// The size in bytes.
        found: u64,
    },
}
