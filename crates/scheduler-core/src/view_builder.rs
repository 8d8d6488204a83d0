use crate::prelude::*;

/// Jobs in one part of a whole view.
const JOBS_A_PART: usize = 128;
/// Workers in one part of a whole view.
const WORKERS_A_PART: usize = 32;

/// News of jobs, alike for all gateways that have been told as much.
#[derive(Clone, Debug, Default)]
struct JobNews {
    accepted: Vec<JobSummary>,
    changes: Vec<JobChange>,
    forgotten: Vec<JobNumber>,
}

/// What gateways act on, by whom it concerns.
#[derive(Clone, Debug, Default)]
struct OrderNews<'l> {
    starts: BTreeMap<&'l str, BTreeSet<TaskId>>,
    stops: BTreeMap<&'l str, BTreeSet<TaskId>>,
    orphans: BTreeMap<&'l str, BTreeSet<(WorkerIndex, AttemptId)>>,
    gangs_settled: BTreeSet<StepId>,
    workers: BTreeSet<WorkerIndex>,
    workers_removed: Vec<Name>,
    zones_changed: bool,
}

/// Builds gateways' updates from the journal. What is alike for several gateways is worked out once.
#[derive(Debug)]
pub struct ViewBuilder<'l> {
    ledger: &'l Ledger,
    /// News of jobs since a view number.
    job_news: BTreeMap<u64, JobNews>,
    /// Orders since an event.
    order_news: BTreeMap<u64, OrderNews<'l>>,
    /// The parts of a whole view that are alike for all gateways.
    shared_parts: Option<Vec<Arc<SchedulerFrame>>>,
    /// The tasks that each gateway is to start.
    unsent_starts: Option<BTreeMap<&'l str, Vec<TaskId>>>,
}

impl<'l> ViewBuilder<'l> {
    /// A builder over a ledger as it is now.
    pub fn new(ledger: &'l Ledger) -> Self {
        ViewBuilder { ledger, job_news: BTreeMap::new(), order_news: BTreeMap::new(), shared_parts: None, unsent_starts: None }
    }

    /// A whole view in parts: only the last carries a view number, so a channel that breaks between them starts over. The
    /// configuration comes first, as calls are served by it alone. Each part is small enough for a slow link to carry it well
    /// within a gateway's patience with its channel.
    pub fn whole(&mut self, gateway: &str, instance: u64) -> Vec<Arc<SchedulerFrame>> {
        let ledger = self.ledger;
        let shared = self.shared_parts.get_or_insert_with(|| {
            let parts = ledger.shared_parts().into_iter();
            parts.map(|part| Arc::new(SchedulerFrame::Update(part))).collect()
        });
        let starts = self.unsent_starts.get_or_insert_with(|| ledger.unsent_starts());
        let starts = starts.get(gateway).map_or(&[][..], Vec::as_slice);
        let own = ledger.own_parts(gateway, instance, starts);
        shared.iter().cloned().chain(own.into_iter().map(|part| Arc::new(SchedulerFrame::Update(part)))).collect()
    }

    /// What changed for a gateway: one update, or the parts of a whole view. `seen` numbers the last event whose news of
    /// jobs it has, `ordered` the last whose orders it has. Without `jobs` only orders are told, and the view number stays.
    pub fn updates(
        &mut self,
        gateway: &str,
        instance: u64,
        (seen, ordered): (u64, u64),
        configuration: u64,
        jobs: bool,
    ) -> Vec<ViewUpdate> {
        let ledger = self.ledger;
        let kept = |from: u64| from > 0 && ledger.journal.since(from).is_some();
        if !kept(seen) || !kept(ordered) {
            let parts = self.whole(gateway, instance);
            return parts.iter().filter_map(|part| ledger.update_in(part)).collect();
        }
        let orders = self.order_news.entry(ordered).or_insert_with(|| ledger.order_news(ordered));
        let mut update = ledger.orders_of(orders, gateway, instance);
        update.configuration = ledger.configuration_update(configuration);
        update.upto = seen;
        if jobs {
            let news = self.job_news.entry(seen).or_insert_with(|| ledger.job_news(seen));
            update.upto = ledger.journal.last();
            update.jobs = news.accepted.clone();
            update.job_changes = news.changes.clone();
            update.jobs_forgotten = news.forgotten.clone();
        }
        vec![update]
    }
}

impl Ledger {
    /// What changed for one gateway, see [`ViewBuilder::updates`].
    pub fn updates(&self, gateway: &str, instance: u64, told: (u64, u64), configuration: u64, jobs: bool) -> Vec<ViewUpdate> {
        ViewBuilder::new(self).updates(gateway, instance, told, configuration, jobs)
    }

    /// News of jobs since an event.
    fn job_news(&self, seen: u64) -> JobNews {
        let s = &self.state;
        let mut news = JobNews::default();
        let (mut changed, mut accepted) = (BTreeSet::new(), BTreeSet::new());
        for event in self.journal.since(seen).into_iter().flatten() {
            match event {
                Event::JobAccepted { spec, .. } => accepted.extend(s.names.get(&spec.name).copied()),
                Event::JobForgotten { job } => news.forgotten.push(*job),
                Event::JobEnding { job, .. } | Event::JobOver { job, .. } => {
                    changed.insert(*job);
                }
                Event::AttemptIntended { task, .. }
                | Event::AttemptStarted { task, .. }
                | Event::AttemptOver { task, .. }
                | Event::TaskDoneLate { task }
                | Event::TaskFailedLate { task } => {
                    changed.insert(task.job);
                }
                Event::GangRunOver { step, .. } => {
                    changed.insert(step.job);
                }
                _ => {}
            }
        }
        let summary = |job: &JobNumber| s.tables.jobs.get(job).map(|job| &job.summary);
        news.changes = changed.difference(&accepted).filter_map(summary).map(JobChange::of).collect();
        news.accepted = accepted.iter().filter_map(summary).cloned().collect();
        news
    }

    /// What gateways act on since an event.
    fn order_news(&self, ordered: u64) -> OrderNews<'_> {
        let tables = &self.state.tables;
        let holder = |worker: &WorkerIndex| tables.workers.get(worker).and_then(|worker| worker.gateway.as_deref());
        let mut news = OrderNews::default();
        for event in self.journal.since(ordered).into_iter().flatten() {
            match event {
                Event::AttemptIntended { task, .. } => {
                    if let Some(attempt) = tables.attempts.get(task) {
                        news.starts.entry(&attempt.gateway).or_default().insert(*task);
                    }
                }
                Event::StopWanted { task, .. } => {
                    if let Some(gateway) = tables.attempts.get(task).and_then(|attempt| holder(&attempt.worker)) {
                        news.stops.entry(gateway).or_default().insert(*task);
                    }
                }
                Event::OrphanSeen { worker, attempt } => {
                    if let Some(gateway) = holder(worker) {
                        news.orphans.entry(gateway).or_default().insert((*worker, *attempt));
                    }
                }
                Event::GangSettled { step } => {
                    news.gangs_settled.insert(*step);
                }
                Event::WorkerKnown { worker, .. }
                | Event::WorkerReborn { worker, .. }
                | Event::WorkerDraining { worker, .. }
                | Event::WorkerReachable { worker, .. }
                | Event::WorkerShared { worker, .. } => {
                    news.workers.insert(*worker);
                }
                Event::WorkerGone { name, .. } => news.workers_removed.push(name.clone()),
                Event::ZoneEvacuated { .. } => news.zones_changed = true,
                _ => {}
            }
        }
        news
    }

    /// One gateway's part of what gateways act on.
    fn orders_of(&self, news: &OrderNews<'_>, gateway: &str, instance: u64) -> ViewUpdate {
        let s = &self.state;
        let mut u = ViewUpdate { log_time_ms: s.tables.log_time, ..ViewUpdate::default() };
        u.workers_removed = news.workers_removed.clone();
        u.evacuated_zones = news.zones_changed.then(|| s.tables.evacuated.iter().cloned().collect());
        u.gangs_settled = news.gangs_settled.iter().filter(|step| s.holds_of(gateway, **step)).copied().collect();
        let starts = news.starts.get(gateway).into_iter().flatten();
        u.starts = starts.filter_map(|task| self.start_order(gateway, instance, *task)).collect();
        let stops = news.stops.get(gateway).into_iter().flatten();
        u.stops = stops.filter_map(|task| self.stop_order(*task)).collect();
        let orphans = news.orphans.get(gateway).into_iter().flatten().filter(|orphan| s.tables.orphans.contains(orphan));
        u.stops.extend(orphans.map(|(worker, attempt)| StopOrder::unsent(*attempt, s.worker_name(*worker))));
        for worker in &news.workers {
            self.add_worker(&mut u, gateway, *worker);
        }
        u
    }

    /// A worker's line; for its holder also what is on it.
    fn add_worker(&self, u: &mut ViewUpdate, gateway: &str, w: WorkerIndex) {
        let s = &self.state;
        let Some(line) = s.worker_summary(w) else { return };
        if line.gateway.as_deref() == Some(gateway) {
            for t in s.on_worker.get(&w).into_iter().flatten() {
                let Some(a) = s.tables.attempts.get(t) else { continue };
                let attempt = AttemptId { task: *t, number: a.number };
                if a.started.as_ref().is_some_and(|x| x.1 == line.boot_id) {
                    u.held.push((line.name.clone(), attempt));
                }
                if a.stop.is_some() {
                    u.stops.push(StopOrder::unsent(attempt, line.name.clone()));
                }
            }
            let from = (w, *AttemptId::of_job(0).start());
            for (_, attempt) in s.tables.orphans.range(from..).take_while(|o| o.0 == w) {
                u.stops.push(StopOrder::unsent(*attempt, line.name.clone()));
            }
        }
        u.workers.push(line);
    }

    /// The start order of an attempt that this instance of this gateway is to send.
    fn start_order(&self, gateway: &str, instance: u64, t: TaskId) -> Option<StartOrder> {
        let s = &self.state;
        let a = s.tables.attempts.get(&t).filter(|a| a.started.is_none() && a.stop.is_none())?;
        if a.gateway != gateway || a.instance != instance {
            return None;
        }
        let spec = s.tables.jobs.get(&t.job)?.spec.as_deref()?;
        let st = spec.steps.get(t.step as usize)?;
        let step = s.tables.jobs.get(&t.job)?.step(t.step_id())?;
        Some(StartOrder {
            gang_by_ms: step.gang_by,
            checkpoint: step.tasks.get(t.index as usize)?.checkpoint.clone(),
            lease_until_ms: None,
            estimate_ms: st.estimate_ms,
            attempt: AttemptId { task: t, number: a.number },
            fence: a.fence,
            worker: s.worker_name(a.worker),
            job_name: spec.name.clone(),
            service: spec.service.clone(),
            cpu_millis: st.cpu_millis,
            memory_mb: st.memory_mb,
            run_until_cancelled: spec.run_until_cancelled,
            payload: spec.payload_of(t.step).clone(),
            intended_at_ms: a.intended_at,
            time_budget_ms: s.tables.rules.order_time_budget_ms,
        })
    }

    /// The stop order of an attempt that is to be stopped.
    fn stop_order(&self, t: TaskId) -> Option<StopOrder> {
        let a = self.state.tables.attempts.get(&t).filter(|a| a.stop.is_some())?;
        Some(StopOrder::unsent(AttemptId { task: t, number: a.number }, self.state.worker_name(a.worker)))
    }

    /// What takes a gateway from its version to the one in force.
    pub fn configuration_update(&self, seen: u64) -> Option<ConfigurationUpdate> {
        let c = &self.state.configuration;
        if seen == c.version() {
            return None;
        }
        let mut u =
            ConfigurationUpdate { version: c.version(), digest: c.digest().to_string(), patches: Vec::new(), base: seen, tree: None };
        match c.since(seen).filter(|_| seen > 0) {
            Some(entries) => u.patches = entries.iter().map(|e| patch_of(e)).collect(),
            None => u.tree = Some(Payload(c.tree().to_value())),
        }
        Some(u)
    }

    /// The update in a frame.
    fn update_in(&self, frame: &SchedulerFrame) -> Option<ViewUpdate> {
        match frame {
            SchedulerFrame::Update(update) => Some(update.clone()),
            _ => None,
        }
    }

    /// What a whole view tells all gateways alike: the configuration, all workers and all jobs.
    fn shared_parts(&self) -> Vec<ViewUpdate> {
        let s = &self.state;
        let zones = s.tables.evacuated.iter().cloned().collect();
        let first =
            ViewUpdate { reset: true, configuration: self.configuration_update(0), evacuated_zones: Some(zones), ..ViewUpdate::default() };
        let mut parts = vec![first];
        let workers: Vec<WorkerIndex> = s.tables.workers.keys().copied().collect();
        for some in workers.chunks(WORKERS_A_PART) {
            let workers = some.iter().filter_map(|worker| s.worker_summary(*worker)).collect();
            parts.push(ViewUpdate { workers, ..ViewUpdate::default() });
        }
        let jobs: Vec<&Job> = s.tables.jobs.values().collect();
        for some in jobs.chunks(JOBS_A_PART) {
            let jobs = some.iter().map(|j| j.summary.clone()).collect();
            parts.push(ViewUpdate { jobs, ..ViewUpdate::default() });
        }
        for part in &mut parts {
            part.log_time_ms = s.tables.log_time;
        }
        parts
    }

    /// What a whole view tells one gateway: what is on its workers, and its starts with the view number.
    fn own_parts(&self, gateway: &str, instance: u64, starts: &[TaskId]) -> Vec<ViewUpdate> {
        let s = &self.state;
        let held = |worker: &WorkerRecord| worker.gateway.as_deref() == Some(gateway);
        let workers: Vec<WorkerIndex> = s.tables.workers.iter().filter(|(_, w)| held(w)).map(|(index, _)| *index).collect();
        let mut parts = Vec::new();
        for some in workers.chunks(WORKERS_A_PART) {
            let mut part = ViewUpdate::default();
            for worker in some {
                self.add_worker(&mut part, gateway, *worker);
            }
            parts.push(part);
        }
        let starts = starts.iter().filter_map(|task| self.start_order(gateway, instance, *task)).collect();
        parts.push(ViewUpdate { upto: self.journal.last(), starts, ..ViewUpdate::default() });
        for part in &mut parts {
            part.log_time_ms = s.tables.log_time;
        }
        parts
    }

    /// The attempts of which no start is proven, by the gateway that is to send it.
    fn unsent_starts(&self) -> BTreeMap<&str, Vec<TaskId>> {
        let mut unsent: BTreeMap<&str, Vec<TaskId>> = BTreeMap::new();
        for (task, attempt) in self.state.tables.attempts.iter().filter(|(_, attempt)| attempt.started.is_none()) {
            unsent.entry(&attempt.gateway).or_default().push(*task);
        }
        unsent
    }
}
