use crate::prelude::*;

impl ClusterState {
    /// Folds one event. All change of state goes through here.
    pub fn fold(&mut self, e: &Event) {
        match e {
            Event::JobAccepted { spec, digest, at, due_at, urgency } => self.job_accepted(spec, *digest, *at, due_at, *urgency),
            Event::JobDue { job, occurrence } => self.job_due(*job, *occurrence),
            Event::JobEnding { job, state, at } => self.job_ending(*job, *state, *at),
            Event::JobOver { job, state, at } => self.job_over(*job, *state, *at),
            Event::JobForgotten { job } => self.job_forgotten(*job),
            Event::AttemptIntended { task, worker, at } => self.attempt_intended(*task, *worker, *at),
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
            Event::StepDone { step } => self.step_done(*step),
            Event::GangOut { step, by, .. } => {
                self.gang(*step, Some(*by));
                if let Some(s) = self.step_mut(*step) {
                    s.gang_runs = s.gang_runs.saturating_add(1);
                }
            }
            Event::GangSettled { step } => self.gang(*step, None),
            Event::GangRunOver { step, run, well, .. } => self.gang_run_over(*step, *run, *well),
            Event::TaskDoneLate { task } => self.task_done_late(*task),
            Event::TaskFailedLate { task } => self.task_failed_late(*task),
            Event::CheckpointSeen { task, checkpoint } => self.checkpoint_seen(*task, checkpoint),
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
            Event::WorkerHoldsUp { worker } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    w.health.streak += 1;
                }
            }
            Event::WorkerLeaving { worker } => {
                if let Some(w) = self.tables.workers.get_mut(worker) {
                    w.leaving = true;
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
                    self.tables.last_assignment += 1;
                    w.assignment = self.tables.last_assignment;
                    w.gateway.clone_from(gateway);
                }
            }
            Event::StaleFacts { .. } => {}
            Event::LateEnd { attempt, .. } => {
                if let Some(task) = self.task_mut(attempt.task) {
                    task.note_ended(attempt.number);
                }
            }
            Event::OrphanSeen { worker, attempt } => {
                self.tables.orphans.insert((*worker, *attempt));
            }
            Event::OrphanGone { worker, attempt } => {
                self.tables.orphans.remove(&(*worker, *attempt));
                if let Some(task) = self.task_mut(attempt.task) {
                    task.note_ended(attempt.number);
                }
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
                self.retune_bands();
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

    /// A step, to be changed.
    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.tables.jobs.get_mut(&id.job)?.step_mut(id)
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step_id())?.tasks.get_mut(id.index as usize)
    }

    fn job_accepted(&mut self, spec: &Arc<JobSpec>, digest: u64, at: Millis, due_at: &[Millis], urgency: u8) {
        let number = self.next_job_number(spec);
        if spec.number.is_none() {
            self.tables.next_job = number + 1;
        }
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
        let steps = due_at.iter().flat_map(|_| spec.steps.iter().map(|s| Step::new(s.after.len() as u32))).collect();
        let occurrences = due_at.iter().map(|at| Occurrence { due_at: *at, due: false }).collect();
        self.names.insert(spec.name.clone(), number);
        *self.open_jobs.entry(spec.queue.clone()).or_default() += 1;
        let promise = self.queue_bounds(&spec.queue).filter(|_| self.tables.rules.fixes_promises());
        let promised_retention_ms = promise.map(|bounds| bounds.retention_ms);
        let spec = Some(Box::new(JobSpec::clone(spec)));
        let job = Job { number, spec, digest, summary, occurrences, ending: None, steps, forget_at: 0, promised_retention_ms };
        self.tables.jobs.insert(number, job);
        self.timed.extend((0..).zip(due_at).map(|(occurrence, at)| (*at, number, occurrence)));
    }

    fn job_due(&mut self, job: JobNumber, occurrence: u16) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        let Some(o) = j.occurrences.get_mut(occurrence as usize) else { return };
        o.due = true;
        self.timed.remove(&(o.due_at, job, occurrence));
        let Some(spec) = j.spec.take() else { return };
        for (step, st) in (0..).zip(&spec.steps) {
            if let Some(s) = j.step_mut(StepId { job, occurrence, step }).filter(|s| s.waits_for == 0) {
                s.tasks = vec![Task::new(); st.tasks as usize];
            }
        }
        j.spec = Some(spec);
        let ids: Vec<StepId> = j.step_ids().filter(|id| id.occurrence == occurrence).collect();
        for id in ids {
            self.refresh_ready(id);
        }
    }

    fn job_ending(&mut self, job: JobNumber, state: JobState, at: Millis) {
        let Some(j) = self.tables.jobs.get_mut(&job) else { return };
        j.ending = Some(state);
        for (k, o) in j.occurrences.iter().enumerate() {
            self.timed.remove(&(o.due_at, job, k as u16));
        }
        // Waiting tasks are dropped in one sweep: their records need no change one by one.
        let c = &mut j.summary.tasks;
        c.cancelled += std::mem::take(&mut c.waiting);
        j.summary.state = if state == JobState::Cancelled { JobState::Cancelling } else { state };
        if j.summary.state.is_final() {
            j.summary.ended_at_ms = Some(at);
            Self::less(&mut self.open_jobs, &j.summary.queue);
        }
        let ids: Vec<StepId> = j.step_ids().collect();
        for id in ids {
            self.refresh_ready(id);
        }
    }

    /// One less of a counted thing; none is kept as nothing.
    pub(crate) fn less<K: Ord>(counts: &mut BTreeMap<K, u64>, key: &K) {
        if let Some(n) = counts.get_mut(key) {
            *n -= 1;
            if *n == 0 {
                counts.remove(key);
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
        for (by, id) in j.step_ids().filter_map(|id| Some((j.step(id)?.gang_by?, id))) {
            self.gangs.remove(&(by, id));
        }
        j.steps = Vec::new();
        let promised = j.promised_retention_ms;
        let keep = self.retention_ms(&queue, promised);
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
