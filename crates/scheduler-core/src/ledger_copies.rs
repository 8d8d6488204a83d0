//! Copies of a task side by side, where its step allows them.
//!
//! A task has one attempt that the log counts on. When that one's worker falls silent, and copies are allowed, the task starts
//! anew elsewhere at once instead of waiting for proof that nothing of it runs. The old attempt becomes an orphan: it is to be
//! stopped, and its worker gets nothing new before its end is proven. If it ends first all the same, that end counts.

use crate::prelude::*;

impl Ledger {
    /// A worker with a lease fell silent: urgent tasks on it whose steps allow copies start anew elsewhere.
    pub(crate) fn detach_copies(&mut self, worker: WorkerIndex) {
        for task in self.tasks_on(worker) {
            if self.may_copy(task) {
                self.detach(task);
                self.attempt_over(task, TaskEvent::Lost);
            }
        }
    }

    /// The log counts on an attempt no more; it may still run.
    pub(crate) fn detach(&mut self, task: TaskId) {
        if let Some(a) = self.state.tables.attempts.get(&task) {
            let (worker, number) = (a.worker, a.number);
            self.emit(Event::OrphanSeen { worker, attempt: AttemptId { task, number } });
        }
    }

    /// Whether a task may start anew beside its attempt.
    fn may_copy(&self, task: TaskId) -> bool {
        let t = &self.state.tables;
        let open = t.attempts.get(&task).is_some_and(|a| matches!(a.stop, None | Some(StopReason::Unproven)));
        let urgent = t.jobs.get(&task.job).is_some_and(|j| j.summary.urgency >= t.rules.urgent_from);
        open && urgent && self.allows_copies(task)
    }

    /// Whether a task's step allows copies, and its job goes on.
    fn allows_copies(&self, task: TaskId) -> bool {
        let Some(job) = self.state.tables.jobs.get(&task.job).filter(|j| j.ending.is_none()) else { return false };
        let Some(spec) = job.spec.as_deref().filter(|s| !s.run_until_cancelled) else { return false };
        spec.steps.get(usize::from(task.step)).is_some_and(|s| s.copies && !s.gang)
    }

    /// Whether a task, or the gang that it is a member of, failed as often as its job allows, and once more.
    pub(crate) fn has_failed_out(&self, task: TaskId) -> bool {
        let Some(job) = self.state.tables.jobs.get(&task.job) else { return false };
        let Some(spec) = job.spec.as_deref() else { return false };
        let Some(step) = job.step(task.step_id()) else { return false };
        let together = spec.steps.get(usize::from(task.step)).is_some_and(StepSpec::is_gang_that_ends_together);
        let failures = match together {
            true => step.gang_failures,
            false => step.tasks.get(task.index as usize).map_or(0, |task| task.failures),
        };
        failures > spec.allowed_failures.unwrap_or(0)
    }
}
