use crate::prelude::*;

/// A task charged to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunningTask {
    /// Input of the predictor.
    #[n(0)]
    pub features: TaskFeatures,
    /// Room charged.
    #[n(1)]
    pub room: Room,
    /// Log time of the intent.
    #[n(2)]
    pub placed_at: Millis,
    /// Log time from which uptime counts.
    #[n(3)]
    pub started_at: Millis,
    /// Latest repredicted exit.
    #[n(4)]
    pub exit: Millis,
}
