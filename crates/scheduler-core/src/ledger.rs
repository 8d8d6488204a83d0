use crate::prelude::*;

/// What a command is answered with, where somebody waits for an answer.
pub type Answer = Option<CallResult<AnswerBody>>;

/// State and journal together: commands of committed entries are applied here, on every scheduler alike.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// The folded state.
    pub state: ClusterState,
    /// The newest events.
    pub journal: Journal,
}

/// A worker stalls its tasks when it has this many times the overdue ones that all others have.
const PEERS_RATIO: u64 = 4;
/// A worker's only overdue task gets this many times the limit.
const LONE_PATIENCE: u64 = 4;
/// Events kept in memory, as a ratio to the finished jobs kept: some seconds of a large fleet's, so that a gateway which was cut off for
/// so long gets a difference.
const JOURNAL_RATIO: u64 = 1;

impl Ledger {
    /// A ledger over a state, with an empty journal.
    pub fn new(state: ClusterState) -> Self {
        let most = state.tables.rules.finished_jobs_kept / JOURNAL_RATIO;
        let journal = Journal::new(state.tables.next_event, most as usize);
        Ledger { state, journal }
    }

    /// Folds an event and appends it to the journal.
    pub(crate) fn emit(&mut self, e: Event) {
        self.state.fold(&e);
        // No view shows a check; thousands a minute would push all else out of the journal.
        if !matches!(e, Event::AttemptChecked { .. }) {
            self.state.tables.next_event += 1;
            self.journal.append(e);
        }
    }

    /// Applies one committed entry: first what the passing of time brings, then each command in order.
    ///
    /// ```
    /// use scheduler_core::{ClusterRules, ClusterState, Command, CommandBatch, Ledger};
    /// use cluster_messages::{AnswerBody, JobSpec};
    /// let mut l = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    /// let spec = JobSpec::single("hold-7", "table-holds", "booking", 2, 500, 256);
    /// let submit = Command::Submit { spec, due_in_ms: 0 };
    /// let batch = CommandBatch { proposer: 1, number: 1, commands: vec![submit.clone(), submit] };
    /// let answers = l.apply(10, batch);
    /// assert!(matches!(&answers[0], Some(Ok(AnswerBody::SubmitJob(a))) if !a.already));
    /// assert!(matches!(&answers[1], Some(Ok(AnswerBody::SubmitJob(a))) if a.already));
    /// ```
    pub fn apply(&mut self, log_time: Millis, batch: CommandBatch) -> Vec<Answer> {
        self.advance(log_time);
        batch.commands.into_iter().map(|c| self.command(c)).collect()
    }

    /// Cluster time of the last entry.
    pub(crate) fn now(&self) -> Millis {
        self.state.tables.log_time
    }

    fn command(&mut self, c: Command) -> Answer {
        match c {
            Command::Submit { spec, due_in_ms } => Some(self.submit(spec, due_in_ms).map(AnswerBody::SubmitJob)),
            Command::Cancel(c) => Some(self.cancel(&c.name).map(AnswerBody::CancelJob)),
            Command::Register(r) => Some(self.register(r).map(AnswerBody::RegisterWorker)),
            Command::Drain(d) => Some(self.drain(&d).map(AnswerBody::DrainWorker)),
            Command::Remove(r) => Some(self.remove(&r).map(AnswerBody::RemoveWorker)),
            Command::Evacuate(e) => Some(self.evacuate(e).map(AnswerBody::EvacuateZone)),
            Command::PutConfiguration { base_version, change_id, tree, source } => {
                Some(self.put_configuration(base_version, &change_id, &tree, source).map(AnswerBody::PutConfiguration))
            }
            Command::PatchConfiguration { base_version, change_id, digest, patch, source } => {
                Some(self.patch_configuration(base_version, &change_id, &digest, &patch, source).map(AnswerBody::PutConfiguration))
            }
            Command::GatewayAttached { name, instance, zone, http_address } => {
                self.gateway_attached(name, GatewayRecord { instance, zone, http_address, alive: true });
                None
            }
            Command::GatewayLost { name, instance } => {
                if self.state.tables.gateways.get(&name).is_some_and(|g| g.alive && g.instance == instance) {
                    self.emit(Event::GatewayLost { name: name.clone() });
                    self.share_workers();
                    self.stop_unproven_of(&name, instance);
                }
                None
            }
            Command::Facts(f) => {
                self.facts(&f);
                None
            }
            Command::Start { starts, gang } => {
                self.start(&starts, gang);
                None
            }
            Command::Rules { hold_interval_ms, voters, gang_wait_ms, first_class_ms, fold_version } => {
                let rules = ClusterRules {
                    voters,
                    gang_time_budget_ms: gang_wait_ms,
                    first_class_ms,
                    fold_version,
                    ..ClusterRules::new(hold_interval_ms)
                };
                if rules != self.state.tables.rules {
                    self.emit(Event::RulesChanged { rules });
                }
                None
            }
            Command::Preempt(tasks) => {
                for t in tasks {
                    self.stop(t, StopReason::Preempted);
                }
                None
            }
            Command::Advance => None,
            Command::WallClock { wall_ms, log_time_ms } => {
                self.emit(Event::WallClockAgreed { unix_at_zero_ms: wall_ms.saturating_sub(log_time_ms) });
                None
            }
        }
    }

    /// Starts that a lost gateway was to send: whoever holds their workers now finds out what became of them.
    fn stop_unproven_of(&mut self, gateway: &str, instance: u64) {
        let of = |a: &Attempt| a.started.is_none() && a.gateway == gateway && a.instance == instance;
        let open: Vec<TaskId> = self.state.tables.attempts.iter().filter(|(_, a)| of(a)).map(|(t, _)| *t).collect();
        for t in open {
            self.stop(t, StopReason::Unproven);
        }
    }

    /// Whether the passing of time alone would change something by then.
    pub fn has_due(&self, log_time: Millis) -> bool {
        let s = &self.state;
        let over = s.finished.len() as u64 > s.tables.rules.finished_jobs_kept;
        over || s.timed.first().is_some_and(|d| d.0 <= log_time)
            || s.unproven.first().is_some_and(|d| d.0 <= log_time)
            || s.checks.first().is_some_and(|d| d.0 <= log_time)
            || s.gangs.first().is_some_and(|d| d.0 <= log_time)
            || s.finished.first().is_some_and(|d| d.0 <= log_time)
    }

    /// What the passing of time brings.
    fn advance(&mut self, log_time: Millis) {
        self.state.tables.log_time = self.state.tables.log_time.max(log_time);
        let now = self.now();
        while let Some(&(_, job, occurrence)) = self.state.timed.first().filter(|d| d.0 <= now) {
            self.emit(Event::JobDue { job, occurrence });
        }
        while let Some(&(_, task)) = self.state.unproven.first().filter(|d| d.0 <= now) {
            self.stop(task, StopReason::Unproven);
        }
        while let Some(&(at, task)) = self.state.checks.first().filter(|d| d.0 <= now) {
            self.check_stall(task, at);
        }
        while let Some(&(_, step)) = self.state.gangs.first().filter(|d| d.0 <= now) {
            self.emit(Event::GangSettled { step });
            self.break_gang(step);
        }
        let most = self.state.tables.rules.finished_jobs_kept as usize;
        while let Some(&(at, job)) = self.state.finished.first() {
            if at > now && self.state.finished.len() <= most {
                break;
            }
            self.state.finished.remove(&(at, job));
            self.emit(Event::JobForgotten { job });
        }
    }

    /// Looks whether a running attempt lasts far longer than its like. Found so twice, it is compared with its peers: where
    /// others of its queue and kind are overdue on other workers too, such tasks simply take long, and only shorter ones
    /// have ended so far; where it is this worker alone, it stalls them. A stop gives proof of the end, and the task is
    /// tried elsewhere; until one has ended there in good time, each stop doubles the patience with all its like, so that
    /// work which truly takes long gets its time. Stops come one in each check interval.
    fn check_stall(&mut self, task: TaskId, at: Millis) {
        let Some(a) = self.state.tables.attempts.get(&task) else { return };
        let (started, before) = (a.started.as_ref().map_or(at, |s| s.0), a.overdue);
        let (now, every) = (self.now(), self.state.tables.rules.stall_check_ms);
        let limit = self.state.stall_limit(task);
        let overdue = limit.is_some_and(|l| now >= started + l);
        if overdue && before {
            let (here, elsewhere) = self.state.overdue_of(task);
            let alone = here == 1 && limit.is_some_and(|l| now < started + LONE_PATIENCE * l);
            // One at a time: its outcome elsewhere tells whether the next may follow as soon.
            let paused = now < self.state.tables.stalled_at + every && self.state.tables.stalled_at > 0;
            if elsewhere * PEERS_RATIO <= here && !alone && !paused {
                self.stop(task, StopReason::Stalled);
                return;
            }
        }
        let due = limit.map_or(now + every, |l| (started + l).max(now + 1));
        let next = if overdue { now + every } else { due.min(now + every) };
        self.emit(Event::AttemptChecked { task, next, overdue });
    }

    /// Wants an attempt stopped, once.
    pub(crate) fn stop(&mut self, task: TaskId, reason: StopReason) {
        if self.state.tables.attempts.get(&task).is_some_and(|a| a.stop.is_none()) {
            self.emit(Event::StopWanted { task, reason });
        }
    }

    /// Starts that placement worked out: each is checked again against the state as it is now.
    fn start(&mut self, starts: &[(TaskId, WorkerIndex)], gang: bool) {
        let at = self.now();
        let mut asked: BTreeMap<WorkerIndex, Room> = BTreeMap::new();
        let mut good = Vec::new();
        for &(task, worker) in starts {
            let Some(room) = self.may_start(task, worker) else { continue };
            let sum = asked.entry(worker).or_default();
            let free = &self.state.tables.workers[&worker];
            if sum.add(room).fits(free.room().sub(free.used)) {
                *sum = sum.add(room);
                good.push((task, worker));
            }
        }
        if gang {
            let Some(step) = good.first().map(|(t, _)| t.step_id()) else { return };
            if good.len() != starts.len() || self.state.gang_to_start(step) != Some(starts.len() as u32) {
                return;
            }
            let by = at + self.state.tables.rules.gang_time_budget_ms;
            let members = good.len() as u32;
            self.emit(Event::GangOut { step, by, members });
        }
        for (task, worker) in good {
            self.emit(Event::AttemptIntended { task, worker, at });
        }
    }

    /// The room of a task that may start on a worker now, all rules considered but its room.
    fn may_start(&self, task: TaskId, worker: WorkerIndex) -> Option<Room> {
        let s = &self.state;
        let j = s.tables.jobs.get(&task.job).filter(|j| j.is_due(task.occurrence) && j.ending.is_none())?;
        let step = j.step(task.step_id()).filter(|st| st.waits_for == 0)?;
        step.tasks.get(task.index as usize).filter(|t| t.state == TaskState::Waiting)?;
        let spec = j.spec.as_deref()?;
        let w = s.tables.workers.get(&worker)?;
        let st = &spec.steps[task.step as usize];
        let spread = st.most_per_worker == 0 || s.tasks_of_step_on(worker, task.step_id()) < st.most_per_worker;
        (spread && s.worker_allows(worker, w, &spec.queue, &spec.service, &st.kinds, &st.labels)).then(|| room_of(st))
    }

    /// Ends a job: nothing of it starts any more, what is out is stopped.
    pub(crate) fn end_job(&mut self, job: JobNumber, state: JobState) {
        let at = self.now();
        self.emit(Event::JobEnding { job, state, at });
        self.stop_all(TaskId::of_job(job), StopReason::JobEnding);
        self.settle_job(job);
    }

    /// Wants all attempts of a range of tasks stopped.
    pub(crate) fn stop_all(&mut self, tasks: RangeInclusive<TaskId>, reason: StopReason) {
        let live: Vec<TaskId> = self.state.tables.attempts.range(tasks).map(|(t, _)| *t).collect();
        for t in live {
            self.stop(t, reason);
        }
    }

    /// Looks whether a job is over.
    pub(crate) fn settle_job(&mut self, job: JobNumber) {
        let Some(j) = self.state.tables.jobs.get(&job) else { return };
        if j.spec.is_none() || j.live() > 0 {
            return;
        }
        let all = j.summary.tasks;
        let state = match j.ending {
            Some(s) => s,
            None if all.waiting == 0 => JobState::Succeeded,
            None => return,
        };
        let at = self.now();
        self.emit(Event::JobOver { job, state, at });
    }
}
