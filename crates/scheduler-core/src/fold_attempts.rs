//! How attempts, copies and gangs change the state.

use crate::prelude::*;

impl ClusterState {
    pub(crate) fn attempt_intended(&mut self, task: TaskId, worker: WorkerIndex, at: Millis) {
        let key = self.tables.next_key;
        self.tables.next_key += 1;
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        let Some(spec) = j.spec.clone() else { return };
        let Some(w) = self.tables.workers.get_mut(&worker) else { return };
        let st = &spec.steps[task.step as usize];
        let room = room_of(st);
        let Some(s) = j.step_mut(task.step_id()) else { return };
        let gang_run = st.gang.then_some(s.gang_runs);
        let Some(t) = s.tasks.get_mut(task.index as usize) else { return };
        t.begin_attempt(gang_run.unwrap_or(t.attempts + 1));
        let number = t.attempts;
        let far = st.near_rack.as_ref().is_some_and(|r| *r != w.told.rack);
        let partial = far || t.checkpoint.is_some();
        let Some(to) = task_chart().next(t.state, TaskEvent::Intended) else { return };
        let from = std::mem::replace(&mut t.state, to);
        if task.index == s.fresh {
            s.fresh += 1;
        } else {
            s.again.remove(&task.index);
        }
        s.live += 1;
        j.count(from, to);
        w.used = w.used.add(room);
        let fence = w.assignment;
        let gateway = w.gateway.clone().unwrap_or_default();
        let instance = self.tables.gateways.get(&gateway).map_or(0, |g| g.instance);
        let z = self.zone_room.entry(w.told.zone.clone()).or_default();
        z.1 = z.1.add(room);
        let u = self.queue_use.entry((w.told.zone.clone(), spec.queue.clone())).or_default();
        *u = (u.0 + 1, u.1.add(room));
        *self.running_shapes.entry((spec.service.clone(), room)).or_default() += 1;
        self.on_worker.entry(worker).or_default().insert(task);
        self.unproven.insert((at + self.tables.rules.unproven_ms, task));
        let a = Attempt {
            number,
            key,
            worker,
            gateway,
            instance,
            intended_at: at,
            started: None,
            stop: None,
            room,
            check_at: 0,
            overdue: false,
            partial,
            fence,
        };
        self.tables.attempts.insert(task, a);
        let place = self.task_to_place(&spec, task.step, key);
        // A worker that the tables know is known to the bands: folded from the same events.
        let _ = self.bands.task_placed(at, worker, &place);
        self.refresh_ready(task.step_id());
    }

    pub(crate) fn attempt_started(&mut self, task: TaskId, boot_id: &str, at: Millis) {
        let Some(a) = self.tables.attempts.get_mut(&task) else { return };
        a.started = Some((at, boot_id.to_owned()));
        self.unproven.remove(&(a.intended_at + self.tables.rules.unproven_ms, task));
        let _ = self.bands.task_started(at, a.worker, a.key);
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        if j.spec.as_ref().is_some_and(|s| !s.run_until_cancelled) && a.stop.is_none() {
            a.check_at = at + self.tables.rules.stall_check_ms;
            self.checks.insert((a.check_at, task));
        }
        let t = j.step_mut(task.step_id()).and_then(|s| s.tasks.get_mut(task.index as usize));
        let moved = t.and_then(|t| {
            let to = task_chart().next(t.state, TaskEvent::Started)?;
            Some((std::mem::replace(&mut t.state, to), to))
        });
        if let Some((from, to)) = moved {
            j.count(from, to);
        }
        if j.summary.state == JobState::Waiting {
            j.summary.state = JobState::Running;
        }
    }

    pub(crate) fn attempt_over(&mut self, task: TaskId, how: TaskEvent, at: Millis) {
        if self.tables.attempts.get(&task).is_some_and(|a| a.overdue) {
            self.count_overdue(task, -1);
        } else if how == TaskEvent::Succeeded && self.was_stalled(task) {
            // Elsewhere it ended in good time: it was the worker.
            self.doubt(task, -1);
        }
        let Some(a) = self.tables.attempts.remove(&task) else { return };
        self.checks.remove(&(a.check_at, task));
        self.unproven.remove(&(a.intended_at + self.tables.rules.unproven_ms, task));
        if let Some(set) = self.on_worker.get_mut(&a.worker) {
            set.remove(&task);
        }
        // Another copy's end stands for this attempt's, which says nothing of its worker and its duration.
        let superseded = self.tables.orphans.contains(&(a.worker, AttemptId { task, number: a.number }));
        let outcome = match how {
            _ if superseded => TaskOutcome::Stopped,
            TaskEvent::Succeeded => TaskOutcome::Finished,
            TaskEvent::Failed | TaskEvent::GivenUp => TaskOutcome::Failed,
            _ if a.started.is_none() => TaskOutcome::NeverStarted,
            _ => TaskOutcome::Stopped,
        };
        let _ = self.bands.task_ended(at, a.worker, a.key, outcome);
        if !superseded {
            self.judge_worker(&a, how, at);
        }
        if how == TaskEvent::Succeeded && !superseded {
            self.judge_pace(task, &a, at);
        }
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        if let Some(w) = self.tables.workers.get_mut(&a.worker) {
            w.used = w.used.sub(a.room);
            if let Some(z) = self.zone_room.get_mut(&w.told.zone) {
                z.1 = z.1.sub(a.room);
            }
            let key = (w.told.zone.clone(), j.summary.queue.clone());
            if let Some(u) = self.queue_use.get_mut(&key) {
                *u = (u.0 - 1, u.1.sub(a.room));
                if u.0 == 0 {
                    self.queue_use.remove(&key);
                }
            }
        }
        if let Some(spec) = j.spec.as_deref() {
            let shape = (spec.service.clone(), a.room);
            Self::less(&mut self.running_shapes, &shape);
        }
        if matches!(how, TaskEvent::Failed | TaskEvent::GivenUp) {
            j.summary.failures += 1;
        }
        let ending = j.ending.is_some();
        let Some(s) = j.step_mut(task.step_id()) else { return };
        s.live -= 1;
        let Some(t) = s.tasks.get_mut(task.index as usize) else { return };
        if !superseded && matches!(how, TaskEvent::Succeeded | TaskEvent::Failed | TaskEvent::Stopped) {
            t.note_ended(a.number);
        }
        if matches!(how, TaskEvent::Failed | TaskEvent::GivenUp) {
            t.failures += 1;
            t.avoid = Some(a.worker);
        }
        if matches!(a.stop, Some(StopReason::Stalled)) {
            t.stalls = t.stalls.saturating_add(1);
            t.avoid = Some(a.worker);
        }
        let Some(mut to) = task_chart().next(t.state, how) else { return };
        let from = t.state;
        if to == TaskState::Waiting {
            match ending {
                true => to = task_chart().next(to, TaskEvent::Dropped).unwrap_or(to),
                false => {
                    s.again.insert(task.index);
                }
            }
        }
        s.succeeded += u32::from(to == TaskState::Succeeded);
        t.state = to;
        j.count(from, to);
        self.refresh_ready(task.step_id());
    }

    /// Whether an earlier attempt of a task was stopped as stalled.
    fn was_stalled(&self, task: TaskId) -> bool {
        let step = self.tables.jobs.get(&task.job).and_then(|j| j.step(task.step_id()));
        step.and_then(|s| s.tasks.get(task.index as usize)).is_some_and(|t| t.stalls > 0)
    }

    /// Notes a stop as stalled whose worth isn't proven yet, or that one has proven right.
    pub(crate) fn doubt(&mut self, task: TaskId, by: i8) {
        let Some((like, _)) = self.like(task) else { return };
        let n = self.tables.stall_doubts.entry(like).or_default();
        *n = n.saturating_add_signed(by);
        if *n == 0 {
            self.tables.stall_doubts.remove(&like);
        }
    }

    /// What an ended attempt says of its worker.
    fn judge_worker(&mut self, a: &Attempt, how: TaskEvent, at: Millis) {
        let well = match (how, a.stop) {
            (TaskEvent::Succeeded, _) => true,
            (TaskEvent::Failed | TaskEvent::GivenUp, _) => false,
            (_, Some(StopReason::Unproven | StopReason::Stalled | StopReason::Missing)) => false,
            _ => return,
        };
        let (good, bad) = self.tables.fleet_health;
        let Some(w) = self.tables.workers.get_mut(&a.worker) else { return };
        // Its peers: the fleet without it.
        let (g, b) = ((good - w.health.good).max(0.0), (bad - w.health.bad).max(0.0));
        let before = w.health;
        w.health.record(well, b / (g + b).max(1.0), at, self.tables.rules.shun_ms);
        self.tables.fleet_health = ((good + w.health.good - before.good).max(0.0), (bad + w.health.bad - before.bad).max(0.0));
    }

    /// What the duration of a finished task says of its worker, beside those of the same step that ended before.
    fn judge_pace(&mut self, task: TaskId, a: &Attempt, at: Millis) {
        let Some(duration) = a.started.as_ref().map(|s| at.saturating_sub(s.0)).filter(|_| !a.partial) else { return };
        let Some(s) = self.tables.jobs.get_mut(&task.job).and_then(|j| j.step_mut(task.step_id())) else { return };
        let (count, sum) = s.durations;
        s.durations = (count + 1, sum + duration);
        if count > 0
            && let Some(w) = self.tables.workers.get_mut(&a.worker)
        {
            w.pace.record(duration, sum as f64 / f64::from(count));
        }
    }

    /// A task that waits to start again is done.
    pub(crate) fn task_done_late(&mut self, task: TaskId) {
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        let Some(s) = j.step_mut(task.step_id()) else { return };
        let Some(t) = s.tasks.get_mut(task.index as usize).filter(|t| t.state == TaskState::Waiting) else { return };
        t.state = TaskState::Succeeded;
        s.again.remove(&task.index);
        s.succeeded += 1;
        j.count(TaskState::Waiting, TaskState::Succeeded);
        self.refresh_ready(task.step_id());
    }

    /// One more failure of a task.
    pub(crate) fn task_failed_late(&mut self, task: TaskId) {
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        j.summary.failures += 1;
        if let Some(t) = self.task_mut(task) {
            t.failures += 1;
        }
    }

    /// A run of a gang that ends together is over. A good end is also that of the members that wait to be started again: they were told
    /// as over before anyone told how the run ended.
    pub(crate) fn gang_run_over(&mut self, id: StepId, run: u16, well: bool) {
        let Some(job) = self.tables.jobs.get_mut(&id.job) else { return };
        let ending = job.ending.is_some();
        let Some(step) = job.step_mut(id) else { return };
        if !well {
            step.gang_failures += 1;
            step.newest_failed_run = run;
            return;
        }
        step.gang_done = true;
        if ending {
            // Waiting tasks were dropped as the job began to end.
            return;
        }
        for _ in 0..step.succeed_waiting() {
            job.count(TaskState::Waiting, TaskState::Succeeded);
        }
        self.refresh_ready(id);
    }

    /// A checkpoint serves one task, or all members of a gang.
    pub(crate) fn checkpoint_seen(&mut self, task: TaskId, checkpoint: &str) {
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        let gang = j.spec.as_deref().and_then(|s| s.steps.get(task.step as usize)).is_some_and(|s| s.gang);
        let Some(s) = j.step_mut(task.step_id()) else { return };
        let members = if gang { 0..s.tasks.len() } else { task.index as usize..task.index as usize + 1 };
        for t in s.tasks.get_mut(members).into_iter().flatten() {
            t.checkpoint = Some(checkpoint.to_owned());
        }
    }

    pub(crate) fn gang(&mut self, id: StepId, by: Option<Millis>) {
        let Some(s) = self.step_mut(id) else { return };
        if let Some(old) = std::mem::replace(&mut s.gang_by, by) {
            self.gangs.remove(&(old, id));
        }
        if let Some(by) = by {
            self.gangs.insert((by, id));
        }
    }

    pub(crate) fn step_done(&mut self, id: StepId) {
        let Some(j) = self.tables.jobs.get_mut(&id.job) else { return };
        let Some(spec) = j.spec.take() else { return };
        let name = &spec.steps[id.step as usize].name;
        let mut opened = Vec::new();
        for (step, st) in (0..).zip(&spec.steps) {
            let by = st.after.iter().filter(|a| *a == name).count() as u32;
            let next = StepId { step, ..id };
            if let Some(s) = j.step_mut(next).filter(|_| by > 0) {
                s.waits_for -= by;
                if s.waits_for == 0 {
                    s.tasks = vec![Task::new(); st.tasks as usize];
                    opened.push(next);
                }
            }
        }
        j.spec = Some(spec);
        for id in opened {
            self.refresh_ready(id);
        }
    }
}
