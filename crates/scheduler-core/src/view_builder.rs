use crate::prelude::*;

/// Jobs in one part of a whole view.
const JOBS_A_PART: usize = 128;
/// Workers in one part of a whole view.
const WORKERS_A_PART: usize = 32;

impl Ledger {
    /// What changed for a gateway: one update, or the parts of a whole view. `seen` numbers the last event whose news of
    /// jobs it has, `ordered` the last whose orders it has. Without `jobs` only orders are told, and the view number stays.
    pub fn updates(&self, gateway: &str, instance: u64, (seen, ordered): (u64, u64), configuration: u64, jobs: bool) -> Vec<ViewUpdate> {
        match self.journal.since(seen).filter(|_| seen > 0) {
            Some(events) => {
                let numbered = (seen + 1..).zip(events);
                vec![self.delta(gateway, instance, configuration, numbered, (seen, ordered), jobs)]
            }
            None => self.whole(gateway, instance),
        }
    }

    /// Folds the events into one update.
    fn delta<'e>(
        &self,
        gateway: &str,
        instance: u64,
        configuration: u64,
        events: impl Iterator<Item = (u64, &'e Event)>,
        (seen, ordered): (u64, u64),
        with_jobs: bool,
    ) -> ViewUpdate {
        let s = &self.state;
        let mut jobs = BTreeSet::new();
        let mut accepted = BTreeSet::new();
        let mut workers = BTreeSet::new();
        let mut starts = BTreeSet::new();
        let mut stops = BTreeSet::new();
        let mut orphans = BTreeSet::new();
        let upto = if with_jobs { self.journal.last() } else { seen };
        let mut u = ViewUpdate { upto, log_time_ms: s.tables.log_time, ..ViewUpdate::default() };
        for (n, e) in events {
            let order = n > ordered;
            match e {
                Event::JobAccepted { spec, .. } => accepted.extend(s.names.get(&spec.name)),
                Event::DrainOrdered { .. }
                | Event::RulesChanged { .. }
                | Event::JobDue { .. }
                | Event::AttemptChecked { .. }
                | Event::GangOut { .. }
                | Event::GangRunOver { .. }
                | Event::CheckpointSeen { .. }
                | Event::WorkerLeaving { .. }
                | Event::WorkerHoldsUp { .. }
                | Event::StepDone { .. } => {}
                Event::JobEnding { job, .. } | Event::JobOver { job, .. } => {
                    jobs.insert(*job);
                }
                Event::JobForgotten { job } if with_jobs => u.jobs_forgotten.push(*job),
                Event::AttemptIntended { task, .. } => {
                    jobs.insert(task.job);
                    if order {
                        starts.insert(*task);
                    }
                }
                Event::AttemptStarted { task, .. }
                | Event::AttemptOver { task, .. }
                | Event::CopyDone { task }
                | Event::CopyFailed { task } => {
                    jobs.insert(task.job);
                }
                // What follows is for orders alone.
                _ if !order => {}
                Event::JobForgotten { .. } => {}
                Event::StopWanted { task, .. } => {
                    stops.insert(*task);
                }
                Event::GangSettled { step } => {
                    if s.holds_of(gateway, *step) {
                        u.gangs_settled.push(*step);
                    }
                }
                Event::WorkerKnown { worker, .. }
                | Event::WorkerReborn { worker, .. }
                | Event::WorkerDraining { worker, .. }
                | Event::WorkerReachable { worker, .. }
                | Event::WorkerShared { worker, .. } => {
                    workers.insert(*worker);
                }
                Event::OrphanSeen { worker, attempt } => {
                    orphans.insert((*worker, *attempt));
                }
                Event::StaleFacts { .. } | Event::OrphanGone { .. } | Event::GatewayAttached { .. } | Event::GatewayLost { .. } => {}
                Event::WorkerGone { name, .. } => u.workers_removed.push(name.clone()),
                Event::ConfigurationChanged { .. } | Event::WallClockAgreed { .. } => {}
                Event::ZoneEvacuated { .. } => u.evacuated_zones = Some(s.tables.evacuated.iter().cloned().collect()),
            }
        }
        if with_jobs {
            let summary = |j: &JobNumber| s.tables.jobs.get(j).map(|j| &j.summary);
            u.job_changes = jobs.difference(&accepted).filter_map(summary).map(JobChange::of).collect();
            u.jobs = accepted.iter().filter_map(summary).cloned().collect();
        }
        u.starts = starts.iter().filter_map(|t| self.start_order(gateway, instance, *t)).collect();
        let mine = |w: WorkerIndex| s.tables.workers.get(&w).is_some_and(|w| w.gateway.as_deref() == Some(gateway));
        u.stops = stops.iter().filter_map(|t| self.stop_order(*t).filter(|o| mine(o.0))).map(|o| o.1).collect();
        let orphans = orphans.into_iter().filter(|(w, a)| mine(*w) && s.tables.orphans.contains(&(*w, *a)));
        u.stops.extend(orphans.map(|(w, attempt)| StopOrder::unsent(attempt, s.worker_name(w))));
        for w in workers {
            self.add_worker(&mut u, gateway, w);
        }
        u.configuration = self.configuration_update(configuration);
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

    /// The stop order of an attempt that is to be stopped, and where it is.
    fn stop_order(&self, t: TaskId) -> Option<(WorkerIndex, StopOrder)> {
        let a = self.state.tables.attempts.get(&t).filter(|a| a.stop.is_some())?;
        Some((a.worker, StopOrder::unsent(AttemptId { task: t, number: a.number }, self.state.worker_name(a.worker))))
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

    /// A whole view in parts: only the last carries a view number, so a channel that breaks between them starts over. The
    /// configuration comes first, as calls are served by it alone. Each part is small enough for a slow link to carry it well
    /// within a gateway's patience with its channel.
    fn whole(&self, gateway: &str, instance: u64) -> Vec<ViewUpdate> {
        let s = &self.state;
        let zones = s.tables.evacuated.iter().cloned().collect();
        let first =
            ViewUpdate { reset: true, configuration: self.configuration_update(0), evacuated_zones: Some(zones), ..ViewUpdate::default() };
        let mut parts = vec![first];
        let workers: Vec<WorkerIndex> = s.tables.workers.keys().copied().collect();
        for some in workers.chunks(WORKERS_A_PART) {
            let mut part = ViewUpdate::default();
            for w in some {
                self.add_worker(&mut part, gateway, *w);
            }
            parts.push(part);
        }
        let jobs: Vec<&Job> = s.tables.jobs.values().collect();
        for some in jobs.chunks(JOBS_A_PART) {
            let jobs = some.iter().map(|j| j.summary.clone()).collect();
            parts.push(ViewUpdate { jobs, ..ViewUpdate::default() });
        }
        let starts = s.tables.attempts.keys().filter_map(|t| self.start_order(gateway, instance, *t)).collect();
        parts.push(ViewUpdate { upto: self.journal.last(), starts, ..ViewUpdate::default() });
        for p in &mut parts {
            p.log_time_ms = s.tables.log_time;
        }
        parts
    }
}
