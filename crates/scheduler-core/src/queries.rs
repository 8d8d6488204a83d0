use crate::prelude::*;

/// Jobs on a page at most, and when the caller names no limit.
const PAGE: (u32, u32) = (1_000, 100);
/// Attempts shown with a job at most.
const ATTEMPTS_SHOWN: usize = 100;

impl ClusterState {
    /// A job with its steps and attempts.
    pub fn get_job(&self, name: &str) -> CallResult<JobStatus> {
        let j = self.job(name).ok_or_else(|| call_error::not_found("job", name))?;
        let mut steps = Vec::new();
        let shown = j.step_ids().zip(&j.steps).filter_map(|(id, s)| Some((s, j.spec.as_deref()?.steps.get(id.step as usize)?)));
        for (s, st) in shown {
            let mut tasks = TaskCounts::default();
            for t in &s.tasks {
                let n = match t.state {
                    TaskState::Waiting if j.ending.is_some() => &mut tasks.cancelled,
                    TaskState::Waiting => &mut tasks.waiting,
                    TaskState::Starting => &mut tasks.starting,
                    TaskState::Running => &mut tasks.running,
                    TaskState::Succeeded => &mut tasks.succeeded,
                    TaskState::Failed => &mut tasks.failed,
                    TaskState::Cancelled => &mut tasks.cancelled,
                };
                *n += 1;
            }
            if s.tasks.is_empty() {
                tasks.waiting = st.tasks;
            }
            let waits_for = if s.waits_for > 0 { st.after.clone() } else { Vec::new() };
            steps.push(StepStatus { name: st.name.clone(), waits_for, tasks });
        }
        let out = self.tables.attempts.range(TaskId::of_job(j.number)).take(ATTEMPTS_SHOWN);
        let attempts = out.map(|(t, a)| (AttemptId { task: *t, number: a.number }, self.worker_name(a.worker))).collect();
        Ok(JobStatus { summary: j.summary.clone(), steps, attempts })
    }

    /// A worker's name.
    pub fn worker_name(&self, w: WorkerIndex) -> Name {
        self.tables.workers.get(&w).map(|w| w.told.name.clone()).unwrap_or_default()
    }

    /// A page of jobs.
    pub fn list_jobs(&self, l: &ListJobs) -> JobList {
        let most = l.limit.unwrap_or(PAGE.1).min(PAGE.0) as usize;
        let from = l.after.map_or(0, |a| a.saturating_add(1));
        let mut it = self
            .tables
            .jobs
            .range(from..)
            .map(|(_, j)| &j.summary)
            .filter(|s| l.queue.as_ref().is_none_or(|q| *q == s.queue) && l.state.is_none_or(|x| x == s.state));
        let jobs: Vec<JobSummary> = it.by_ref().take(most).cloned().collect();
        let next = it.next().and(jobs.last().map(|j| j.job));
        JobList { jobs, next }
    }

    /// A worker as lists show it.
    pub fn worker_summary(&self, i: WorkerIndex) -> Option<WorkerSummary> {
        let w = self.tables.workers.get(&i)?;
        let t = w.told.clone();
        let band = self.bands.worker(i).map(|s| s.band());
        Some(WorkerSummary {
            name: t.name,
            address: t.address,
            boot_id: t.boot_id,
            service: t.service,
            kind: t.kind,
            rack: t.rack,
            zone: t.zone,
            cpu_millis: t.cpu_millis,
            memory_mb: t.memory_mb,
            draining: w.draining(),
            gateway: w.gateway.clone(),
            used_cpu_millis: w.used.cpu_millis,
            used_memory_mb: w.used.memory_mb,
            attempts: self.on_worker.get(&i).map_or(0, BTreeSet::len) as u32,
            reachable: w.reachable,
            shun_level: w.health.level,
            band: band.map(band_summary).unwrap_or_default(),
            leased: t.leased,
            assignment: w.assignment,
        })
    }

    /// All workers, by name.
    pub fn list_workers(&self, l: &ListWorkers) -> WorkerList {
        let all = self.worker_names.values().filter_map(|i| self.worker_summary(*i));
        WorkerList { workers: all.filter(|w| l.zone.as_ref().is_none_or(|z| *z == w.zone)).collect() }
    }

    /// Queues with their use and limits.
    pub fn list_queues(&self) -> QueueList {
        let mut keys: BTreeSet<(Name, Name)> = self.queue_use.keys().cloned().collect();
        keys.extend(self.effective.iter().map(|((z, q), _)| (z.to_owned(), q.to_owned())));
        let line = |(zone, queue): (Name, Name)| {
            let q = self.queue_settings(&zone, &queue).unwrap_or_default();
            let u = self.queue_use.get(&(zone.clone(), queue.clone())).copied().unwrap_or_default();
            let room = self.zone_room.get(&zone).copied().unwrap_or_default().0;
            QueueUse {
                urgency: q.settings.urgency as u8,
                share: q.settings.share,
                cap_tasks: q.settings.cap_tasks,
                cap_cpu_millis: (room.cpu_millis as f64 * q.settings.cap_cpu_share) as u64,
                tasks: u.0,
                used_cpu_millis: u.1.cpu_millis,
                used_memory_mb: u.1.memory_mb,
                waiting_jobs: self.open_jobs.get(&queue).copied().unwrap_or(0),
                queue,
                zone,
            }
        };
        QueueList { queues: keys.into_iter().map(line).collect() }
    }

    /// The tree in force.
    pub fn get_configuration(&self) -> Configuration {
        let c = &self.configuration;
        Configuration {
            version: c.version(),
            digest: c.digest().to_string(),
            tree: Payload(c.tree().to_value()),
            source: self.tables.configuration_source.clone(),
        }
    }

    /// The newest changes, the newest first.
    pub fn configuration_history(&self, limit: u32) -> ConfigurationHistoryList {
        let line = |e: &HistoryEntry| ConfigurationChange {
            version: e.version,
            change_id: e.change_id.clone(),
            at_ms: self.tables.configuration_times.get(&e.version).copied().unwrap_or(0),
            patch: patch_of(e),
        };
        ConfigurationHistoryList { changes: self.configuration.entries().rev().take(limit as usize).map(line).collect() }
    }

    /// What is in force for a queue in a zone, with origins.
    pub fn effective_settings(&self, g: &GetEffectiveSettings) -> CallResult<EffectiveSettings> {
        let q = self.queue_settings(&g.zone, &g.queue).ok_or_else(|| call_error::not_found("queue in that zone", &g.queue))?;
        let values = serde_json::to_value(&q.settings).unwrap_or_default();
        let values = q.origins.iter().map(|(setting, level)| EffectiveValue {
            setting: setting.to_owned(),
            value: Payload(values.get(setting).cloned().unwrap_or_default()),
            origin: serde_json::to_value(level).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default(),
        });
        Ok(EffectiveSettings {
            zone: g.zone.clone(),
            queue: g.queue.clone(),
            version: self.configuration.version(),
            values: values.collect(),
        })
    }
}

/// A band in words.
fn band_summary(b: &WorkerBand) -> BandSummary {
    let (state, empty) = match b.state {
        WorkerBandState::Empty => ("empty", true),
        WorkerBandState::Open => ("open", false),
        WorkerBandState::Recycling => ("recycling", false),
    };
    BandSummary { class: if empty { 0 } else { b.class.number() }, state: state.to_owned() }
}

/// A change's patch; null where it is no longer kept.
pub(crate) fn patch_of(e: &HistoryEntry) -> Payload {
    Payload(e.patch.as_deref().and_then(|p| serde_json::from_str(p).ok()).unwrap_or_default())
}
