use crate::prelude::*;

/// What the callers came to so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerFigures {
    /// Jobs that were made up and sent.
    pub jobs: u64,
    /// Of them accepted.
    pub accepted: u64,
    /// Of them answered with an error that stays.
    pub errors: u64,
    /// Of them given up without knowing.
    pub given_up: u64,
    /// Cancellations acknowledged.
    pub cancelled: u64,
    /// Jobs seen final.
    pub seen_final: u64,
}
