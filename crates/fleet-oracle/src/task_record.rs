use crate::prelude::*;

/// A run that has not ended.
pub(crate) struct OpenRun {
    pub(crate) worker: Name,
    pub(crate) boot: String,
    pub(crate) attempt: AttemptId,
    pub(crate) started: Millis,
    pub(crate) cpu_millis: u64,
    pub(crate) memory_mb: u64,
}

/// What is known of one task.
#[derive(Default)]
pub(crate) struct TaskRecord {
    pub(crate) open: Vec<OpenRun>,
    /// Failed runs whose outcome was not lost with the worker.
    pub(crate) failed: u32,
    /// All failed runs.
    pub(crate) failed_ever: u32,
    /// Succeeded runs whose outcome was not lost with the worker.
    pub(crate) succeeded: u32,
    /// Whether any run succeeded.
    pub(crate) succeeded_ever: bool,
}

impl TaskRecord {
    /// Takes out the run that a line about its end names.
    pub(crate) fn take(&mut self, worker: &str, boot: &str, attempt: AttemptId) -> Option<OpenRun> {
        let i = self.open.iter().position(|r| r.attempt == attempt && r.worker == worker && r.boot == boot)?;
        Some(self.open.swap_remove(i))
    }
}
