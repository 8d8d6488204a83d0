use crate::prelude::*;

/// How long a fleet may take to come to its load, at most.
const PATIENCE_MS: Millis = 600_000;
/// Steps in which that is looked at.
const LOOK_MS: Millis = 500;
/// Tasks of one job of the load that runs throughout.
const RUNNING_A_JOB: u64 = 64;
/// Jobs sent in one look while finished jobs are piled up.
const KEPT_A_LOOK: u64 = 100;
/// Rest between the preparation and the window: holds of five seconds come round.
const REST_MS: Millis = 11_000;
/// How long the tasks run that run throughout.
const THROUGHOUT_MS: Millis = 1_000_000_000;

impl FleetDriver {
    /// Brings the fleet to its size, lets it work for the window, and reads what each role spent.
    ///
    /// ```
    /// use capacity_slopes::{FleetDriver, FleetSize};
    /// let size = FleetSize { workers: 8, jobs_per_s: 2.0, run_ms: 200, window_ms: 5_000, ..FleetSize::default() };
    /// let r = FleetDriver::new(size).unwrap().read().unwrap();
    /// assert!(r.finished >= 8, "{r:?}");
    /// ```
    pub fn read(mut self) -> Result<Reading, CapacityError> {
        self.prepare()?;
        for s in &mut self.schedulers {
            s.usage = RoleUsage::default();
        }
        for g in &mut self.gateways {
            g.usage = RoleUsage::default();
        }
        let leader = self.leader().unwrap_or(0);
        let before = (self.finished(), self.started(), self.schedulers[leader].core.counters);
        let began = self.now;
        self.load = true;
        self.set(began, DriverEvent::NextJob);
        self.set(began, DriverEvent::NextChange);
        self.run_to(began + self.size.window_ms);
        let same = self.leader().unwrap_or(usize::MAX);
        self.reached("the leader that began the window", u64::from(same == leader), 1)?;
        let (finished, started) = (self.finished() - before.0, self.started() - before.1);
        let counters = self.schedulers[leader].core.counters;
        let s = self.schedulers[leader].core.state();
        let (running, jobs, configuration) = (s.tables.attempts.len() as u64, s.tables.jobs.len() as u64, s.configuration.version());
        let snapshot_bytes = s.to_bytes().len() as u64;
        let mut reading = Reading {
            window_ms: self.size.window_ms,
            figures: BTreeMap::new(),
            usage: BTreeMap::new(),
            finished,
            started,
            running,
            jobs,
            configuration,
            snapshot_bytes,
            entries: counters.entries - before.2.entries,
            commands: counters.commands - before.2.commands,
            updates: counters.updates - before.2.updates,
            size: self.size.clone(),
        };
        let FleetDriver { schedulers, gateways, .. } = self;
        let mut of: BTreeMap<Role, Vec<(RoleUsage, Memory)>> = BTreeMap::new();
        for (i, s) in schedulers.into_iter().enumerate() {
            let role = if i == leader { Role::Leader } else { Role::Follower };
            let log = s.core.replica().log().bytes() as f64;
            let state = dropped(s.core.state().clone());
            let held = dropped(s.core);
            let memory = [(Quantity::Held, held), (Quantity::State, state), (Quantity::Log, held.map(|_| log))];
            of.entry(role).or_default().push((s.usage, memory.to_vec()));
        }
        for g in gateways {
            of.entry(Role::Gateway).or_default().push((g.usage, vec![(Quantity::Held, dropped(g.core))]));
        }
        for (role, all) in of {
            reading.figures.insert(role, figures(&all, reading.window_ms));
            let sum = reading.usage.entry(role).or_default();
            all.iter().for_each(|(u, _)| sum.add(u));
        }
        Ok(reading)
    }

    /// Which scheduler serves.
    fn leader(&self) -> Option<usize> {
        (0..self.schedulers.len()).find(|i| self.schedulers[*i].core.is_serving(self.now))
    }

    fn reached(&self, what: &'static str, found: u64, wanted: u64) -> Result<(), CapacityError> {
        if found >= wanted { Ok(()) } else { Err(CapacityError::NotReached { what, found, wanted, after_ms: self.now }) }
    }

    /// Runs until so many are found.
    fn until(&mut self, what: &'static str, wanted: u64, found: impl Fn(&Self) -> u64) -> Result<(), CapacityError> {
        let end = self.now + PATIENCE_MS;
        while found(self) < wanted && self.now < end {
            self.run_to(self.now + LOOK_MS);
        }
        self.reached(what, found(self), wanted)
    }

    /// A count of the leader's state.
    fn count(&self, f: impl Fn(&Scheduler) -> usize) -> u64 {
        self.leader().map_or(0, |i| f(&self.schedulers[i].core) as u64)
    }

    /// Tasks that ended well, of all jobs kept.
    fn finished(&self) -> u64 {
        self.count(|c| c.state().tables.jobs.values().map(|j| j.summary.tasks.succeeded as usize).sum())
    }

    /// Attempts that were intended.
    fn started(&self) -> u64 {
        self.leader().map_or(0, |i| self.schedulers[i].core.counters.planned)
    }

    /// Workers, tree, tasks that run throughout, and finished jobs.
    fn prepare(&mut self) -> Result<(), CapacityError> {
        self.until("leader", 1, |d| u64::from(d.leader().is_some()))?;
        self.run_to(self.now + 2 * LOOK_MS);
        let body =
            PutConfiguration { base_version: 0, change_id: "change-0".into(), tree: Payload(self.size.tree(0)), source: None }.into_body();
        self.ask(0, body, None);
        self.until("configuration", 1, |d| d.count(|c| c.state().configuration.version() as usize))?;
        let workers = self.size.workers as u64;
        self.until("workers held", workers, |d| d.count(|c| c.state().tables.workers.values().filter(|w| w.gateway.is_some()).count()))?;
        let mut left = self.size.running;
        while left > 0 {
            let tasks = left.min(RUNNING_A_JOB);
            left -= tasks;
            self.submit("throughout", tasks as u32, THROUGHOUT_MS);
        }
        let running = self.size.running;
        self.until("running tasks", running, |d| d.count(|c| c.state().tables.attempts.values().filter(|a| a.started.is_some()).count()))?;
        let mut kept = 0;
        while kept < self.size.jobs_kept {
            for _ in 0..KEPT_A_LOOK.min(self.size.jobs_kept - kept) {
                self.submit("short", 1, 0);
                kept += 1;
            }
            self.run_to(self.now + LOOK_MS);
        }
        self.until("finished jobs", kept, |d| d.count(|c| c.state().tables.jobs.values().filter(|j| j.is_over()).count()))?;
        self.run_to(self.now + REST_MS);
        Ok(())
    }

    /// Submits a job by the next gateway in turn. Steps of one name are alike in length, as the predictor takes them.
    fn submit(&mut self, step: &str, tasks: u32, run_ms: Millis) {
        let n = self.jobs_sent;
        self.jobs_sent += 1;
        let step = StepSpec {
            name: step.into(),
            tasks,
            cpu_millis: 250,
            memory_mb: 512,
            payload: Payload(json!({"run_ms": run_ms, "outcome": "succeeded"})),
            ..StepSpec::default()
        };
        let spec = JobSpec {
            steps: vec![step],
            allowed_failures: Some(3),
            ..JobSpec::single(&format!("batch-{n:08}"), &format!("team-{:03}", n as usize % self.size.queues), "teams", tasks, 250, 512)
        };
        let gateway = n as usize % self.size.gateways;
        self.ask(gateway, SubmitJob { spec }.into_body(), None);
    }

    /// The load's next job.
    pub(crate) fn next_job(&mut self) {
        if self.size.jobs_per_s <= 0.0 {
            return;
        }
        self.submit("main", self.size.tasks_per_job, self.size.run_ms);
        self.set(self.now + (1_000.0 / self.size.jobs_per_s) as Millis, DriverEvent::NextJob);
    }

    /// The load's next change.
    pub(crate) fn next_change(&mut self) {
        if self.size.changes_per_s <= 0.0 {
            return;
        }
        self.changes_sent += 1;
        let n = self.changes_sent;
        let body = PutConfiguration { base_version: n, change_id: format!("change-{n}"), tree: Payload(self.size.tree(n)), source: None }
            .into_body();
        self.ask(n as usize % self.size.gateways, body, None);
        self.set(self.now + (1_000.0 / self.size.changes_per_s) as Millis, DriverEvent::NextChange);
    }
}

/// Bytes held, by quantity.
type Memory = Vec<(Quantity, Option<f64>)>;

/// Drops a value; gives the bytes that it held.
fn dropped<T>(value: T) -> Option<f64> {
    let before = CountingAllocator::held_bytes()?;
    drop(value);
    Some((before - CountingAllocator::held_bytes()?) as f64)
}

/// The mean figures a second of the processes of one role.
fn figures(all: &[(RoleUsage, Memory)], window_ms: Millis) -> BTreeMap<Quantity, f64> {
    let n = all.len().max(1) as f64;
    let mean = |f: &dyn Fn(&RoleUsage) -> f64| all.iter().map(|(u, _)| f(u)).sum::<f64>() / n;
    let rate = |f: &dyn Fn(&RoleUsage) -> u64| mean(&|u| f(u) as f64) * 1_000.0 / window_ms as f64;
    let both = |u: &RoleUsage, f: fn(crate::traffic::Flow) -> u64| f(u.orders.sum()) + f(u.answers.sum());
    let mut v = BTreeMap::from([
        (Quantity::Sent, rate(&|u| u.sent.sum().messages)),
        (Quantity::SentBytes, rate(&|u| u.sent.sum().bytes)),
        (Quantity::SentWireBytes, rate(&|u| u.sent.sum().wire_bytes)),
        (Quantity::Received, rate(&|u| u.received.sum().messages)),
        (Quantity::ReceivedBytes, rate(&|u| u.received.sum().bytes)),
        (Quantity::WorkerMessages, rate(&|u| both(u, |f| f.messages))),
        (Quantity::WorkerBytes, rate(&|u| both(u, |f| f.bytes))),
        (Quantity::Cpu, rate(&|u| u.cpu_ns) / 1_000.0),
        (Quantity::DiskBytes, rate(&|u| u.disk_bytes)),
        (Quantity::Syncs, rate(&|u| u.syncs)),
    ]);
    for (_, memory) in all {
        for (q, held) in memory {
            if let Some(h) = held {
                *v.entry(*q).or_default() += h / n;
            }
        }
    }
    v
}
