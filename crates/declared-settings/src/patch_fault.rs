use crate::prelude::*;

/// Why a patch gave no tree.
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[serde(tag = "error", rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum PatchFault {
    /// An operation does not fit the tree it is applied to.
    #[snafu(display("operation {operation} at \"{path}\" does not fit the tree: {reason}"))]
    Unfit {
        /// Its place in the patch, from 0.
        operation: usize,
        /// Its path.
        path: String,
        /// The words of the patch library.
        reason: String,
    },
    /// The patched tree is invalid.
    #[snafu(display("{faults}"))]
    Invalid {
        /// All of its faults.
        #[serde(flatten)]
        faults: SettingFaults,
    },
}
