use crate::prelude::*;

/// Where a task stands; `task.chart.json` says what leads where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
#[cbor(index_only)]
pub enum TaskState {
    /// Waits for other steps, its time, or room.
    #[n(0)]
    Waiting,
    /// Intended for a worker, start not proven.
    #[n(1)]
    Starting,
    /// Proven to run.
    #[n(2)]
    Running,
    /// Ended well.
    #[n(3)]
    Succeeded,
    /// Failed for good.
    #[n(4)]
    Failed,
    /// Will never run (again).
    #[n(5)]
    Cancelled,
}

/// What happens to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// An intent for a worker is in the log.
    Intended,
    /// Proof of its start.
    Started,
    /// Proof that the attempt never ran and never will.
    Voided,
    /// Proof that the attempt runs no more, without its outcome.
    Lost,
    /// A stop ended it.
    Stopped,
    /// It failed, and may be tried again.
    Failed,
    /// It failed once too often.
    GivenUp,
    /// It ended well.
    Succeeded,
    /// Its job is ending: it will not run.
    Dropped,
}

/// The chart, read once.
pub fn task_chart() -> &'static Chart<TaskState, TaskEvent> {
    static CHART: LazyLock<Chart<TaskState, TaskEvent>> =
        LazyLock::new(|| Chart::parse(include_str!("task.chart.json")).unwrap_or_else(|e| unreachable!("the built-in chart: {e}")));
    &CHART
}
