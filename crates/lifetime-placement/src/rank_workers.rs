use crate::prelude::*;

/// (rank, temporal cost, room left on the tighter dimension in millionths): lower is better.
pub type Score = (u8, u8, u64);

/// Scores a worker that has room for a task.
pub trait RankWorkers {
    /// The score of `worker` for a task.
    fn score<W: WorkerView>(&self, settings: &PlacementSettings, now: Millis, task: RankedTask, worker: &W) -> Score;
}
