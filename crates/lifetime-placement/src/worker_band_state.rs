use crate::prelude::*;

/// State of a worker's band.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[cbor(index_only)]
#[serde(rename_all = "snake_case")]
pub enum WorkerBandState {
    /// No task is charged to the worker.
    #[default]
    #[n(0)]
    Empty,
    /// It fills with tasks of its own class.
    #[n(1)]
    Open,
    /// It was filled; gaps go to tasks of a shorter class while the residual tasks run out.
    #[n(2)]
    Recycling,
}
