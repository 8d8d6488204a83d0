use crate::prelude::*;

/// What can go wrong here.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlacementError {
    /// The state chart can't be read.
    #[snafu(display("malformed band chart"))]
    MalformedChart {
        /// Where and why.
        source: serde_json::Error,
    },
    /// No such worker.
    #[snafu(display("unknown worker {worker}"))]
    UnknownWorker {
        /// Its index.
        worker: WorkerIndex,
    },
    /// The task is not on that worker.
    #[snafu(display("task {key} is not on worker {worker}"))]
    UnknownTask {
        /// The worker's index.
        worker: WorkerIndex,
        /// The task.
        key: TaskKey,
    },
    /// The task is on that worker already.
    #[snafu(display("task {key} is already on worker {worker}"))]
    TaskAlreadyPlaced {
        /// The worker's index.
        worker: WorkerIndex,
        /// The task.
        key: TaskKey,
    },
    /// A saved state can't be read.
    #[snafu(display("malformed state"))]
    MalformedState {
        /// Where and why.
        source: minicbor::decode::Error,
    },
}
