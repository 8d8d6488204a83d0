use crate::prelude::*;

/// A finished job is kept at least this many hold intervals, so that a caller's late resend finds it.
const LEAST_RETENTION_HOLDS: u64 = 60;

impl ClusterState {
    /// Folds one event. All change of state goes through here.
    pub fn fold(&mut self, e: &Event) {
        match e {
            Event::JobAccepted { spec, digest, at, due_at, urgency } => self.job_accepted(spec, *digest, *at, *due_at, *urgency),
            Event::JobDue { job } => self.job_due(*job),
            Event::JobEnding { job, state, at } => self.job_ending(*job, *state, *at),
            Event::JobOver { job, state, at } => self.job_over(*job, *state, *at),
            Event::JobForgotten { job } => self.job_forgotten(*job),
            Event::AttemptIntended { task, worker, at, term } => self.attempt_intended(*task, *worker, *at, *term),
            Event::AttemptStarted { task, boot_id, at } => self.attempt_started(*task, boot_id, *at),
            Event::StopWanted { task, reason } => {
                if *reason == StopReason::Stalled {
                    self.tables.stalled_at = self.tables.log_time;
                    self.doubt(*task, 1);
                }
                if let Some(a) = self.tables.attempts.get_mut(task) {
                    a.stop = Some(*reason);
                    self.checks.remove(&(a.check_at, *task));
                    self.unproven.remove(&(a.intended_at + self.tables.rules.unproven_ms, *task));
                }
            }
            Event::AttemptChecked { task, next, overdue } => {
                if let Some(a) = self.tables.attempts.get_mut(task) {
                    self.checks.remove(&(a.check_at, *task));
                    a.check_at = *next;
                    self.checks.insert((*next, *task));
                    if *overdue && !std::mem::replace(&mut a.overdue, true) {
                        self.count_overdue(*task, 1);
                    }
                }
            }
            Event::AttemptOver { task, how, at } => self.attempt_over(*task, *how, *at),
            Event::StepDone { job, step } => self.step_done(*job, *step),
            Event::GangOut { job, step, by } => self.gang(*job, *step, Some(*by)),
            Event::GangSettled { job, step } => self.gang(*job, *step, None),
            Event::WorkerKnown { worker, told } => self.worker_known(*worker, told),
            Event::WorkerReborn { worker, boot_id } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    w.boot(boot_id);
                }
                self.tables.orphans.retain(|(w, _)| w != worker);
            }
            Event::WorkerDraining { worker, ordered, asked } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    (w.drain_ordered, w.drain_asked) = (*ordered, *asked);
                }
            }
            Event::DrainOrdered { order_id, name, on } => self.remember_order((order_id.clone(), name.clone(), *on)),
            Event::WorkerReachable { worker, reachable } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    w.reachable = *reachable;
                }
            }
            Event::WorkerShared { worker, gateway } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    w.gateway.clone_from(gateway);
                }
            }
            Event::OrphanSeen { worker, attempt } => {
                self.tables.orphans.insert((*worker, *attempt));
            }
            Event::OrphanGone { worker, attempt } => {
                self.tables.orphans.remove(&(*worker, *attempt));
            }
            Event::WorkerGone { worker, name } => self.worker_gone(*worker, name),
            Event::WallClockAgreed { unix_at_zero_ms } => self.tables.unix_at_zero_ms = Some(*unix_at_zero_ms),
            Event::GatewayAttached { name, record } => {
                self.tables.gateways.insert(name.clone(), record.clone());
            }
            Event::GatewayLost { name } => {
                if let Some(g) = self.tables.gateways.get_mut(name) {
                    g.alive = false;
                }
            }
            Event::ConfigurationChanged { version, at } => {
                self.tables.configuration_times.insert(*version, *at);
                while self.tables.configuration_times.len() > self.configuration.entries().len().max(1) {
                    self.tables.configuration_times.pop_first();
                }
                self.refresh_effective();
            }
            Event::RulesChanged { rules } => {
                // What is on the agenda by the old rules is put there anew.
                self.tables.rules = rules.clone();
                self.unproven.clear();
                let unproven = self.tables.attempts.iter().filter(|(_, a)| a.started.is_none() && a.stop.is_none());
                self.unproven.extend(unproven.map(|(t, a)| (a.intended_at + rules.unproven_ms, *t)));
            }
            Event::ZoneEvacuated { zone, on, order_id, .. } => {
                match on {
                    true => self.tables.evacuated.insert(zone.clone()),
                    false => self.tables.evacuated.remove(zone),
                };
                self.remember_order((order_id.clone(), zone.clone(), *on));
            }
        }
    }

    fn remember_order(&mut self, order: (String, Name, bool)) {
        self.tables.orders.push_back(order);
        if self.tables.orders.len() as u64 > self.tables.rules.orders_remembered {
            self.tables.orders.pop_front();
        }
    }

    fn job_accepted(&mut self, spec: &Arc<JobSpec>, digest: u64, at: Millis, due_at: Millis, urgency: u8) {
        let number = self.tables.next_job;
        self.tables.next_job += 1;
        let summary = JobSummary {
            job: number,
            name: spec.name.clone(),
            queue: spec.queue.clone(),
            state: JobState::Waiting,
            urgency,
            tasks: TaskCounts { waiting: spec.task_count() as u32, ..TaskCounts::default() },
            failures: 0,
            accepted_at_ms: at,
            ended_at_ms: None,
        };
        let mut steps: Vec<Step> = spec.steps.iter().map(|s| Step::new(s.after.len() as u32)).collect();
        for (s, st) in steps.iter_mut().zip(&spec.steps).filter(|(s, _)| s.waits_for == 0) {
            s.tasks = vec![Task::new(); st.tasks as usize];
        }
        self.names.insert(spec.name.clone(), number);
        *self.open_jobs.entry(spec.queue.clone()).or_default() += 1;
        let job = Job {
            number,
            spec: Some(Box::new(JobSpec::clone(spec))),
            digest,
            summary,
            due_at,
            due: false,
            ending: None,
            steps,
            forget_at: 0,
        };
        self.tables.jobs.insert(number, job);
        self.timed.insert((due_at, number));
    }

    fn job_due(&mut self, job: JobNumber) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        j.due = true;
        self.timed.remove(&(j.due_at, job));
        for s in 0..j.steps.len() as u16 {
            self.refresh_ready(job, s);
        }
    }

    fn job_ending(&mut self, job: JobNumber, state: JobState, at: Millis) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        j.ending = Some(state);
        self.timed.remove(&(j.due_at, job));
        // Waiting tasks are dropped in one sweep: their records need no change one by one.
        let c = &mut j.summary.tasks;
        c.cancelled += std::mem::take(&mut c.waiting);
        j.summary.state = if state == JobState::Cancelled { JobState::Cancelling } else { state };
        if j.summary.state.is_final() {
            j.summary.ended_at_ms = Some(at);
            Self::less(&mut self.open_jobs, &j.summary.queue);
        }
        for s in 0..j.steps.len() as u16 {
            self.refresh_ready(job, s);
        }
    }

    fn less(open: &mut BTreeMap<Name, u64>, queue: &str) {
        if let Some(n) = open.get_mut(queue) {
            *n -= 1;
            if *n == 0 {
                open.remove(queue);
            }
        }
    }

    fn job_over(&mut self, job: JobNumber, state: JobState, at: Millis) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        let queue = j.summary.queue.clone();
        if !j.summary.state.is_final() {
            Self::less(&mut self.open_jobs, &queue);
        }
        j.summary.state = state;
        j.summary.ended_at_ms.get_or_insert(at);
        j.spec = None;
        // A gang that was out when its job ended has no date any more.
        for (n, by) in j.steps.iter().enumerate().filter_map(|(n, s)| Some((n, s.gang_by?))) {
            self.gangs.remove(&(by, job, n as u16));
        }
        j.steps = Vec::new();
        let keep = self.queue_bounds(&queue).map_or(0, |b| b.2).max(LEAST_RETENTION_HOLDS * self.tables.rules.hold_interval_ms);
        if let Some(j) = self.tables.jobs.get_mut(&job) {
            j.forget_at = at + keep;
            self.finished.insert((j.forget_at, job));
        }
    }

    fn job_forgotten(&mut self, job: JobNumber) {
        if let Some(j) = self.tables.jobs.remove(&job)
            && self.names.get(&j.summary.name) == Some(&job)
        {
            self.names.remove(&j.summary.name);
        }
    }

    fn attempt_intended(&mut self, task: TaskId, worker: WorkerIndex, at: Millis, term: u64) {
        let key = self.tables.next_key;
        self.tables.next_key += 1;
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        let Some(spec) = j.spec.clone() else { return };
        let Some(w) = self.tables.workers.get_mut(&worker) else { return };
        let st = &spec.steps[task.step as usize];
        let room = Room::new(st.cpu_millis, st.memory_mb);
        let s = &mut j.steps[task.step as usize];
        let t = &mut s.tasks[task.index as usize];
        t.attempts += 1;
        let number = t.attempts;
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
        let gateway = w.gateway.clone().unwrap_or_default();
        let instance = self.tables.gateways.get(&gateway).map_or(0, |g| g.instance);
        let z = self.zone_room.entry(w.told.zone.clone()).or_default();
        z.1 = z.1.add(room);
        let u = self.queue_use.entry((w.told.zone.clone(), spec.queue.clone())).or_default();
        *u = (u.0 + 1, u.1.add(room));
        self.on_worker.entry(worker).or_default().insert(task);
        self.unproven.insert((at + self.tables.rules.unproven_ms, task));
        let a = Attempt {
            number,
            key,
            worker,
            gateway,
            instance,
            term,
            intended_at: at,
            started: None,
            stop: None,
            room,
            check_at: 0,
            overdue: false,
        };
        self.tables.attempts.insert(task, a);
        let place = self.task_to_place(&spec, task.step, key);
        // A worker that the tables know is known to the bands: folded from the same events.
        let _ = self.bands.task_placed(at, worker, &place);
        self.refresh_ready(task.job, task.step);
    }

    fn attempt_started(&mut self, task: TaskId, boot_id: &str, at: Millis) {
        let Some(a) = self.tables.attempts.get_mut(&task) else { return };
        a.started = Some((at, boot_id.to_owned()));
        self.unproven.remove(&(a.intended_at + self.tables.rules.unproven_ms, task));
        let _ = self.bands.task_started(at, a.worker, a.key);
        let Some(j) = self.tables.jobs.get_mut(&task.job) else { return };
        if j.spec.as_ref().is_some_and(|s| !s.run_until_cancelled) && a.stop.is_none() {
            a.check_at = at + self.tables.rules.stall_check_ms;
            self.checks.insert((a.check_at, task));
        }
        let t = &mut j.steps[task.step as usize].tasks[task.index as usize];
        if let Some(to) = task_chart().next(t.state, TaskEvent::Started) {
            let from = std::mem::replace(&mut t.state, to);
            j.count(from, to);
        }
        if j.summary.state == JobState::Waiting {
            j.summary.state = JobState::Running;
        }
    }

    fn attempt_over(&mut self, task: TaskId, how: TaskEvent, at: Millis) {
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
        let outcome = match how {
            TaskEvent::Succeeded => TaskOutcome::Finished,
            TaskEvent::Failed | TaskEvent::GivenUp => TaskOutcome::Failed,
            _ if a.started.is_none() => TaskOutcome::NeverStarted,
            _ => TaskOutcome::Stopped,
        };
        let _ = self.bands.task_ended(at, a.worker, a.key, outcome);
        self.judge_worker(&a, how, at);
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
        if matches!(how, TaskEvent::Failed | TaskEvent::GivenUp) {
            j.summary.failures += 1;
        }
        let ending = j.ending.is_some();
        let s = &mut j.steps[task.step as usize];
        s.live -= 1;
        let t = &mut s.tasks[task.index as usize];
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
        self.refresh_ready(task.job, task.step);
    }

    /// Whether an earlier attempt of a task was stopped as stalled.
    fn was_stalled(&self, task: TaskId) -> bool {
        let step = self.tables.jobs.get(&task.job).and_then(|j| j.steps.get(task.step as usize));
        step.and_then(|s| s.tasks.get(task.index as usize)).is_some_and(|t| t.stalls > 0)
    }

    /// Notes a stop as stalled whose worth isn't proven yet, or that one has proven right.
    fn doubt(&mut self, task: TaskId, by: i8) {
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

    fn step_done(&mut self, job: JobNumber, step: u16) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        let Some(spec) = j.spec.as_deref() else { return };
        let name = &spec.steps[step as usize].name;
        let mut opened = Vec::new();
        for (i, st) in spec.steps.iter().enumerate() {
            let by = st.after.iter().filter(|a| *a == name).count() as u32;
            if by > 0 {
                let s = &mut j.steps[i];
                s.waits_for -= by;
                if s.waits_for == 0 {
                    s.tasks = vec![Task::new(); st.tasks as usize];
                    opened.push(i as u16);
                }
            }
        }
        for s in opened {
            self.refresh_ready(job, s);
        }
    }

    fn gang(&mut self, job: JobNumber, step: u16, by: Option<Millis>) {
        let Some(s) = self.tables.jobs.get_mut(&job).and_then(|j| j.steps.get_mut(step as usize)) else { return };
        if let Some(old) = std::mem::replace(&mut s.gang_by, by) {
            self.gangs.remove(&(old, job, step));
        }
        if let Some(by) = by {
            self.gangs.insert((by, job, step));
        }
    }

    fn worker_known(&mut self, worker: WorkerIndex, told: &RegisterWorker) {
        let at = self.tables.log_time;
        match self.tables.workers.get_mut(&worker) {
            None => {
                self.tables.next_worker = self.tables.next_worker.max(worker + 1);
                self.tables.workers.insert(worker, WorkerRecord::new(told.clone()));
                self.worker_names.insert(told.name.clone(), worker);
                self.on_worker.entry(worker).or_default();
            }
            Some(w) => {
                let z = self.zone_room.entry(w.told.zone.clone()).or_default();
                *z = (z.0.sub(w.room()), z.1.sub(w.used));
                w.told = told.clone();
            }
        }
        let w = &self.tables.workers[&worker];
        let z = self.zone_room.entry(told.zone.clone()).or_default();
        *z = (z.0.add(w.room()), z.1.add(w.used));
        self.bands.worker_added(at, worker, w.room());
    }

    fn worker_gone(&mut self, worker: WorkerIndex, name: &str) {
        let at = self.tables.log_time;
        if let Some(w) = self.tables.workers.remove(&worker)
            && let Some(z) = self.zone_room.get_mut(&w.told.zone)
        {
            *z = (z.0.sub(w.room()), z.1.sub(w.used));
        }
        self.worker_names.remove(name);
        self.on_worker.remove(&worker);
        self.tables.orphans.retain(|(w, _)| *w != worker);
        let _ = self.bands.worker_removed(at, worker);
    }
}
