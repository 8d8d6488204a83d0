use crate::prelude::*;

/// A ready task: its key, what the predictor knows of it, and the room it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TaskToPlace {
    /// Identity of the attempt.
    #[n(0)]
    pub key: TaskKey,
    /// Input of the predictor.
    #[n(1)]
    pub features: TaskFeatures,
    /// Room charged on the worker.
    #[n(2)]
    pub room: Room,
}

impl TaskToPlace {
    /// A task of a queue and kind that takes `room`.
    pub const fn new(key: TaskKey, queue: u64, kind: u64, room: Room, until_cancelled: bool) -> Self {
        let features = TaskFeatures { task: key, queue, kind, shape: room, until_cancelled };
        Self { key, features, room }
    }
}
