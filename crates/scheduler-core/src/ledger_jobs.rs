use crate::prelude::*;

impl Ledger {
    /// A caller's job: accepted once by name.
    pub(crate) fn submit(&mut self, spec: JobSpec, due_in_ms: i64) -> CallResult<JobAccepted> {
        let digest = job_digest(&spec);
        if let Some(j) = self.state.job(&spec.name) {
            ensure!(j.digest == digest, call_error::conflict("job", &spec.name));
            return Ok(JobAccepted { name: spec.name, job: j.number, state: j.summary.state, already: true });
        }
        self.state.may_accept(&spec)?;
        let at = self.now();
        let spec = self.state.resolved(spec);
        let (name, job) = (spec.name.clone(), self.state.next_job_number(&spec));
        let urgency = self.state.urgency(&spec.queue, spec.urgency);
        let interval = spec.repeat.map_or(0, |r| r.interval_ms);
        let due = |k: u16| (at + u64::from(k) * interval).saturating_add_signed(due_in_ms).max(at);
        let due_at: Vec<Millis> = (0..spec.occurrences()).map(due).collect();
        self.emit(Event::JobAccepted { spec: Arc::new(spec), digest, at, due_at: due_at.clone(), urgency });
        for (occurrence, _) in (0..).zip(due_at).filter(|(_, due)| *due <= at) {
            self.emit(Event::JobDue { job, occurrence });
        }
        Ok(JobAccepted { name, job, state: JobState::Waiting, already: false })
    }

    /// A caller's cancellation.
    pub(crate) fn cancel(&mut self, name: &str) -> CallResult<JobCancelled> {
        let j = self.state.job(name).ok_or_else(|| call_error::not_found("job", name))?;
        let job = j.number;
        if j.ending.is_none() && !j.summary.state.is_final() {
            self.end_job(job, JobState::Cancelled);
        }
        let state = self.state.job(name).map_or(JobState::Cancelled, |j| j.summary.state);
        Ok(JobCancelled { name: name.to_owned(), state })
    }

    /// A tree of settings, as a patch on its base.
    pub(crate) fn patch_configuration(
        &mut self,
        base: u64,
        change_id: &str,
        digest: &str,
        patch: &str,
        source: Option<String>,
    ) -> CallResult<ConfigurationAccepted> {
        let c = &self.state.configuration;
        if let Some(o) = c.applied(change_id) {
            ensure!(o.digest.to_string() == digest, call_error::conflict("change", change_id));
            return Ok(ConfigurationAccepted { version: o.version, digest: digest.to_owned(), already: true });
        }
        if base != c.version() {
            return Err(CallError::RacedBase { base, current: c.version() });
        }
        let unfit = |problem: String| call_error::invalid(vec![Fault::new("tree", problem)]).build();
        let patch: Patch = serde_json::from_str(patch).map_err(|e| unfit(e.to_string()))?;
        let tree = apply_patch_within(c.tree(), &patch, c.bounds()).map_err(|e| unfit(e.to_string()))?;
        self.put_configuration(base, change_id, &tree.canonical_json(), source)
    }

    /// A whole tree of settings.
    pub(crate) fn put_configuration(
        &mut self,
        base: u64,
        change_id: &str,
        tree: &[u8],
        source: Option<String>,
    ) -> CallResult<ConfigurationAccepted> {
        let o = self.state.configuration.put(base, change_id, tree).map_err(call_error::of_put)?;
        if !o.already_applied {
            let at = self.now();
            self.state.tables.configuration_source = source;
            self.emit(Event::ConfigurationChanged { version: o.version, at });
        }
        Ok(ConfigurationAccepted { version: o.version, digest: o.digest.to_string(), already: o.already_applied })
    }
}

impl ClusterState {
    /// A job with what its caller left to its queue: the service, and how often a task may fail.
    fn resolved(&self, mut spec: JobSpec) -> JobSpec {
        if spec.service.is_empty() {
            let zones = self.queue_zones.get(&spec.queue).into_iter().flatten();
            let service = zones.filter_map(|z| self.queue_settings(z, &spec.queue)?.settings.services.first().cloned()).next();
            spec.service = service.unwrap_or_default();
        }
        if spec.allowed_failures.is_none() && !spec.run_until_cancelled {
            let most = self.queue_bounds(&spec.queue).map_or(0, |bounds| bounds.allowed_failures);
            spec.allowed_failures = Some(most.min(u64::from(u32::MAX)) as u32);
        }
        spec
    }

    /// Whether a new job may be accepted now, and if not, why.
    pub fn may_accept(&self, spec: &JobSpec) -> CallResult<()> {
        let faults = spec.faults();
        ensure!(faults.is_empty(), call_error::invalid(faults));
        let fault = |path: &str, problem: String| call_error::invalid(vec![Fault::new(path, problem)]);
        let Some(bounds) = self.queue_bounds(&spec.queue) else {
            return Err(fault("queue", format!("no zone has an enabled queue named {}", spec.queue)).build());
        };
        ensure!(
            u64::from(spec.allowed_failures.unwrap_or(0)) <= bounds.allowed_failures,
            fault("allowed_failures", format!("the queue allows at most {}", bounds.allowed_failures))
        );
        let serves = |z: &Name| {
            let q = self.queue_settings(z, &spec.queue);
            q.is_some_and(|q| match spec.service.is_empty() {
                true => !q.settings.services.is_empty(),
                false => q.settings.services.is_empty() || q.settings.services.contains(&spec.service),
            })
        };
        let taken = |n: &JobNumber| self.tables.jobs.get(n).is_some_and(|j| j.summary.name != spec.name);
        ensure!(!spec.number.as_ref().is_some_and(taken), call_error::conflict("job number of", &spec.name));
        let zones = self.queue_zones.get(&spec.queue);
        ensure!(zones.is_none_or(|z| z.iter().any(serves)), fault("service", format!("queue {} doesn't take it", spec.queue)));
        let hint = self.tables.rules.hold_interval_ms * RETRY_HOLDS;
        let open: u64 = self.open_jobs.values().sum();
        ensure!(open < self.tables.rules.open_jobs, call_error::shed("open jobs of the cluster", hint));
        let waiting = self.open_jobs.get(&spec.queue).copied().unwrap_or(0);
        ensure!(waiting < bounds.waiting_jobs, call_error::shed("max_waiting_jobs of the queue", hint));
        Ok(())
    }
}

/// Hint to come back after a shed job, in hold intervals.
const RETRY_HOLDS: u64 = 2;
