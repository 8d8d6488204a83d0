//! What ends attempts, and what follows from their ends.

use crate::prelude::*;

impl Ledger {
    /// An attempt ended at a worker.
    pub(crate) fn ended(&mut self, worker: WorkerIndex, e: &EndedAttempt) {
        if let Some(c) = &e.checkpoint {
            self.checkpoint(worker, e.attempt, c);
        }
        if self.live(worker, e.attempt).is_some() {
            let how = match e.outcome {
                Outcome::Succeeded => TaskEvent::Succeeded,
                Outcome::Failed => TaskEvent::Failed,
                Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => TaskEvent::Stopped,
            };
            if self.state.tables.attempts[&e.attempt.task].started.is_none() && how != TaskEvent::Stopped {
                let (at, boot_id) = (self.now(), self.state.tables.workers[&worker].told.boot_id.clone());
                self.emit(Event::AttemptStarted { task: e.attempt.task, boot_id, at });
            }
            self.attempt_over(e.attempt.task, how);
            return;
        }
        let heard = self.has_ended(e.attempt);
        self.orphan_gone(worker, e.attempt);
        if !heard && self.goes_on(e.attempt) {
            self.ended_late(worker, e.attempt, e.outcome);
        }
    }

    /// How an attempt ended that was over for the log: its worker's life or lease was, or it was given up beside a copy. A good end is the
    /// task's, whatever has become of the task meanwhile; a failed one counts among its failures.
    fn ended_late(&mut self, worker: WorkerIndex, attempt: AttemptId, outcome: Outcome) {
        if !matches!(outcome, Outcome::Succeeded | Outcome::Failed) {
            return;
        }
        self.emit(Event::LateEnd { worker, attempt, outcome });
        match (self.ends_together(attempt.task.step_id()), outcome) {
            (true, Outcome::Succeeded) => self.gang_done_late(attempt),
            (true, _) => self.gang_failed_late(attempt),
            (false, Outcome::Succeeded) => self.task_done_late(attempt.task),
            (false, _) => self.task_failed_late(attempt.task),
        }
    }

    fn task_done_late(&mut self, task: TaskId) {
        if self.state.tables.attempts.contains_key(&task) {
            self.detach(task);
            self.attempt_over(task, TaskEvent::Succeeded);
        } else {
            self.emit(Event::TaskDoneLate { task });
            self.after_success(task);
            self.settle_job(task.job);
        }
    }

    fn task_failed_late(&mut self, task: TaskId) {
        self.emit(Event::TaskFailedLate { task });
        let live = self.state.tables.attempts.contains_key(&task);
        if !live && self.has_failed_out(task) {
            self.end_job(task.job, JobState::Failed);
        }
    }

    /// A run of a gang turns out to have ended well: what was started of it since is stopped.
    fn gang_done_late(&mut self, attempt: AttemptId) {
        let id = attempt.task.step_id();
        let Some(step) = self.state.tables.jobs.get(&id.job).and_then(|job| job.step(id)) else { return };
        let (waiting, newer_out) = (step.waiting_count(), step.live > 0 && step.gang_runs > attempt.number);
        if step.gang_done {
            return;
        }
        self.emit(Event::GangRunOver { step: id, run: attempt.number, well: true, waiting });
        if newer_out {
            self.break_gang(id);
        }
        self.after_success(attempt.task);
        self.settle_job(id.job);
    }

    /// A run of a gang turns out to have failed.
    fn gang_failed_late(&mut self, attempt: AttemptId) {
        let id = attempt.task.step_id();
        self.count_failed_run(id, attempt.number);
        let live = self.state.tables.jobs.get(&id.job).and_then(|job| job.step(id)).is_some_and(|step| step.live > 0);
        if !live && self.has_failed_out(attempt.task) {
            self.end_job(id.job, JobState::Failed);
        }
    }

    /// Counts the failure of a gang's run, once.
    fn count_failed_run(&mut self, id: StepId, run: u16) {
        let Some(step) = self.state.tables.jobs.get(&id.job).and_then(|job| job.step(id)) else { return };
        if run > step.newest_failed_run && !step.gang_done {
            let waiting = step.waiting_count();
            self.emit(Event::GangRunOver { step: id, run, well: false, waiting });
        }
    }

    /// Whether the task of an attempt that was given out hasn't come to its end, and has one of its own.
    fn goes_on(&self, attempt: AttemptId) -> bool {
        let Some(job) = self.state.tables.jobs.get(&attempt.task.job).filter(|job| job.ending.is_none()) else { return false };
        let lasting = job.spec.as_deref().is_none_or(|spec| spec.run_until_cancelled);
        let task = job.step(attempt.task.step_id()).and_then(|step| step.tasks.get(attempt.task.index as usize));
        let open = |task: &Task| matches!(task.state, TaskState::Waiting | TaskState::Starting | TaskState::Running);
        !lasting && task.is_some_and(|task| open(task) && (1..=task.attempts).contains(&attempt.number))
    }

    /// Whether a step is a gang whose members end together.
    fn ends_together(&self, id: StepId) -> bool {
        let spec = self.state.tables.jobs.get(&id.job).and_then(|job| job.spec.as_deref());
        spec.and_then(|spec| spec.steps.get(usize::from(id.step))).is_some_and(StepSpec::is_gang_that_ends_together)
    }

    /// An attempt doesn't run on a worker and never will, or not any more.
    pub(crate) fn runs_no_more(&mut self, worker: WorkerIndex, a: AttemptId) {
        match self.live(worker, a).map(|x| x.started.is_some()) {
            Some(started) => self.attempt_over(a.task, if started { TaskEvent::Lost } else { TaskEvent::Voided }),
            None => {
                self.orphan_gone(worker, a);
            }
        }
    }

    /// An attempt is over: the one place where that is acted on.
    pub(crate) fn attempt_over(&mut self, task: TaskId, how: TaskEvent) {
        let at = self.now();
        let id = task.step_id();
        let Some(j) = self.state.tables.jobs.get(&task.job) else { return };
        let Some(spec) = j.spec.as_deref() else { return };
        let Some(s) = j.step(id) else { return };
        let st = &spec.steps[task.step as usize];
        let (gang, was_ending) = (st.gang, j.ending.is_some());
        let together = st.is_gang_that_ends_together();
        let lasting = spec.run_until_cancelled && spec.allowed_failures.is_none();
        let how = match how {
            // Whatever has no end of its own is started again however it ends.
            TaskEvent::Succeeded | TaskEvent::Failed if lasting => TaskEvent::Lost,
            // One member's good end stands for its whole gang.
            _ if together && s.gang_done => TaskEvent::Succeeded,
            other => other,
        };
        let run = self.state.tables.attempts.get(&task).map_or(0, |attempt| attempt.number);
        let task_failures = s.tasks.get(task.index as usize).map_or(0, |t| t.failures);
        let failures = if together { s.gang_failures_with(run) } else { task_failures + 1 };
        let failed_out = how == TaskEvent::Failed && failures > spec.allowed_failures.unwrap_or(0);
        // The last failure that was allowed may have been told late, while this attempt ran.
        let given_up = failed_out || how != TaskEvent::Succeeded && self.has_failed_out(task);
        let how = if given_up { TaskEvent::GivenUp } else { how };
        let waiting = s.waiting_count();
        if together && how == TaskEvent::Succeeded && !s.gang_done {
            self.emit(Event::GangRunOver { step: id, run, well: true, waiting });
        } else if together && how == TaskEvent::Failed {
            self.count_failed_run(id, run);
        }
        self.emit(Event::AttemptOver { task, how, at });
        let gang_out = self.state.tables.jobs.get(&task.job).and_then(|j| j.step(id)).is_some_and(|s| s.gang_by.is_some());
        if how == TaskEvent::Succeeded {
            self.after_success(task);
        } else if given_up && !was_ending {
            self.end_job(task.job, JobState::Failed);
        } else if gang && !was_ending {
            if gang_out {
                self.emit(Event::GangSettled { step: id });
            }
            self.break_gang(id);
        }
        self.settle_job(task.job);
    }

    /// A task ended well: with the last one its step is done.
    pub(crate) fn after_success(&mut self, task: TaskId) {
        let step = task.step_id();
        let Some(j) = self.state.tables.jobs.get(&task.job).filter(|j| j.ending.is_none()) else { return };
        let tasks = j.spec.as_deref().and_then(|s| s.steps.get(usize::from(task.step))).map(|s| s.tasks);
        let Some(s) = j.step(step).filter(|s| Some(s.succeeded) == tasks) else { return };
        if s.gang_by.is_some() {
            self.emit(Event::GangSettled { step });
        }
        self.emit(Event::StepDone { step });
    }

    /// Stops what is out of a gang that can't run whole, so that nobody waits alone.
    pub(crate) fn break_gang(&mut self, step: StepId) {
        self.stop_all(step.tasks(), StopReason::GangBroken);
    }

    /// Looks whether a gang runs whole.
    pub(crate) fn settle_gang(&mut self, task: TaskId) {
        let step = task.step_id();
        let Some(s) = self.state.tables.jobs.get(&task.job).and_then(|j| j.step(step)) else { return };
        if s.gang_by.is_none() {
            return;
        }
        if self.state.tables.attempts.range(step.tasks()).all(|(_, a)| a.started.is_some()) {
            self.emit(Event::GangSettled { step });
        }
    }

    /// Nothing of an orphan runs any more; false for what isn't one.
    pub(crate) fn orphan_gone(&mut self, worker: WorkerIndex, attempt: AttemptId) -> bool {
        let known = self.state.tables.orphans.contains(&(worker, attempt));
        if known {
            self.emit(Event::OrphanGone { worker, attempt });
        }
        known
    }

    /// The live attempt of that id on that worker.
    pub(crate) fn live(&self, worker: WorkerIndex, a: AttemptId) -> Option<&Attempt> {
        self.state.tables.attempts.get(&a.task).filter(|x| x.worker == worker && x.number == a.number)
    }

    /// Whether an attempt id was given out and is over.
    pub(crate) fn is_over(&self, a: AttemptId) -> bool {
        a.task.job < self.state.tables.next_job || self.state.tables.jobs.contains_key(&a.task.job)
    }

    /// Whether an attempt is known to have ended: a word of its start that comes later is an old one.
    pub(crate) fn has_ended(&self, a: AttemptId) -> bool {
        let step = self.state.tables.jobs.get(&a.task.job).and_then(|job| job.step(a.task.step_id()));
        step.and_then(|step| step.tasks.get(a.task.index as usize)).is_some_and(|task| task.has_ended(a.number))
    }
}
