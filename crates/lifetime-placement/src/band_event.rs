use crate::prelude::*;

/// What may happen to a worker's band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BandEvent {
    /// A task was charged to the worker.
    TaskPlaced,
    /// Processor or memory use rose above the fill threshold.
    Filled,
    /// The last residual task is gone, other tasks remain.
    ResidualsGone,
    /// The time budget of the class is over.
    TimeBudgetOver,
    /// The last task is gone.
    Emptied,
}
