use crate::prelude::*;

/// The acknowledgement of a change; a resend gets the same version and digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PutOutcome {
    /// The version that the change made.
    pub version: u64,
    /// The digest of the tree of that version.
    pub digest: TreeDigest,
    /// Whether the change had been applied before.
    pub already_applied: bool,
}
