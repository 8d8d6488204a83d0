use crate::prelude::*;

/// An event of the log, as far as placement folds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PlacementEvent {
    /// A worker joined, or told of another room.
    #[n(0)]
    WorkerAdded {
        /// Its index.
        #[n(0)]
        worker: WorkerIndex,
        /// Its whole room.
        #[n(1)]
        room: Room,
    },
    /// A worker is gone, and all it held.
    #[n(1)]
    WorkerRemoved {
        /// Its index.
        #[n(0)]
        worker: WorkerIndex,
    },
    /// The intent to start a task on a worker.
    #[n(2)]
    TaskPlaced {
        /// Where.
        #[n(0)]
        worker: WorkerIndex,
        /// What.
        #[n(1)]
        task: TaskToPlace,
    },
    /// The first proof that a task runs.
    #[n(3)]
    TaskStarted {
        /// Where.
        #[n(0)]
        worker: WorkerIndex,
        /// Which.
        #[n(1)]
        key: TaskKey,
    },
    /// The proof that a task is gone from its worker.
    #[n(4)]
    TaskEnded {
        /// Where.
        #[n(0)]
        worker: WorkerIndex,
        /// Which.
        #[n(1)]
        key: TaskKey,
        /// How.
        #[n(2)]
        outcome: TaskOutcome,
    },
    /// Time passed.
    #[n(5)]
    Tick,
}
