use crate::prelude::*;

/// Times of one thing, by urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Of urgency 7 and above.
    pub urgent: LatencyFigure,
    /// Of all.
    pub all: LatencyFigure,
}

/// What a run yields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The deployment's name.
    pub deployment: Name,
    /// The scenario's name; `none` without faults, `file` with a schedule of one's own.
    pub scenario: Name,
    /// The seed of the load.
    pub seed: u64,
    /// The load's factor.
    pub rate: f64,
    /// Seconds of load.
    pub duration_s: f64,
    /// Jobs that a caller has an acceptance of.
    pub jobs_accepted: u64,
    /// Of these, jobs all of whose tasks succeeded.
    pub jobs_finished: u64,
    /// Of these, cancelled by their callers and not finished.
    pub jobs_cancelled: u64,
    /// Of these, jobs a task of which failed more often than allowed.
    pub jobs_failed: u64,
    /// Answers that shed a submission.
    pub jobs_shed: u64,
    /// Jobs that their callers gave up on without knowing.
    pub jobs_given_up: u64,
    /// Tasks that the workers began.
    pub tasks_started: u64,
    /// Of these runs, those that did not end well: stopped, failed or lost with their worker.
    pub runs_unneeded: u64,
    /// For every rule of the oracle, how often it was broken.
    pub violations: BTreeMap<String, u64>,
    /// The first broken rules, in words.
    pub findings: Vec<String>,
    /// What could not be judged, in words.
    pub unjudged: Vec<String>,
    /// From acceptance (or the time it may start at) to the first start of a job.
    pub start_latency_ms: Latencies,
    /// The same by zone.
    pub start_latency_by_zone_ms: BTreeMap<Name, LatencyFigure>,
    /// From acceptance until the job shows through a gateway.
    pub visible_ms: LatencyFigure,
    /// From an acknowledged configuration until it is in force at all gateways that can be reached.
    pub config_in_force_ms: LatencyFigure,
    /// From a drain's first send to its acknowledgement.
    pub drain_ms: LatencyFigure,
    /// From a drain's acknowledgement until nothing ran on the worker.
    pub drain_empty_ms: LatencyFigure,
    /// From a cancellation's first send until nothing of the job ran.
    pub cancel_ms: LatencyFigure,
    /// The longest time in which callers called and none was accepted.
    pub outage_ms: Millis,
    /// The faults, and when they came.
    pub faults: Vec<(f64, String)>,
    /// What each daemon cost.
    pub daemons: BTreeMap<Name, DaemonFigures>,
    /// Processor time of the stand-ins and of the fleet's relays by time: what the daemons had to share the machine with.
    pub emulation_cpu_cores: f64,
    /// What each daemon cost, of all schedulers together.
    pub all_schedulers: DaemonFigures,
    /// What each daemon cost, of all gateways together.
    pub all_gateways: DaemonFigures,
    /// The scenario's own figure: its path in this report.
    pub figure: Option<String>,
}

impl Report {
    /// How many rules were broken in all.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Sums the daemons up.
    pub fn total(&mut self, layout: &Layout) {
        let sum = |role: Role, all: &BTreeMap<Name, DaemonFigures>| {
            let mut t = DaemonFigures::default();
            for d in layout.of_role(role).filter_map(|n| all.get(&n.name)) {
                t.cpu_share_of_core += d.cpu_share_of_core;
                t.rss_mb += d.rss_mb;
                t.rss_peak_mb += d.rss_peak_mb;
                t.replication_bytes_per_s += d.replication_bytes_per_s;
                t.control_bytes_per_s += d.control_bytes_per_s;
                t.worker_bytes_per_s += d.worker_bytes_per_s;
                t.caller_bytes_per_s += d.caller_bytes_per_s;
                t.starts += d.starts;
            }
            t
        };
        self.all_schedulers = sum(Role::Scheduler, &self.daemons);
        self.all_gateways = sum(Role::Gateway, &self.daemons);
    }

    /// The figure of the scenario, read from the report itself.
    pub fn own_figure(&self) -> Option<(String, f64)> {
        let path = self.figure.clone()?;
        let v = serde_json::to_value(self).ok()?;
        let at = path.split('.').try_fold(&v, |v, key| v.get(key))?.as_f64()?;
        Some((path, at))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} · scenario {} · seed {} · rate {} · {:.0} s of load",
            self.deployment, self.scenario, self.seed, self.rate, self.duration_s
        )?;
        for (at, what) in &self.faults {
            writeln!(f, "  {at:7.1} s  {what}")?;
        }
        writeln!(
            f,
            "jobs: {} accepted, {} finished, {} cancelled, {} failed; {} answers shed one, {} given up; {} tasks started, {} runs in vain",
            self.jobs_accepted,
            self.jobs_finished,
            self.jobs_cancelled,
            self.jobs_failed,
            self.jobs_shed,
            self.jobs_given_up,
            self.tasks_started,
            self.runs_unneeded
        )?;
        writeln!(f, "start, urgent    {}", LatencyLine(&self.start_latency_ms.urgent))?;
        writeln!(f, "start, all       {}", LatencyLine(&self.start_latency_ms.all))?;
        for (z, p) in &self.start_latency_by_zone_ms {
            writeln!(f, "start, {z:<9} {}", LatencyLine(p))?;
        }
        writeln!(f, "visible          {}", LatencyLine(&self.visible_ms))?;
        writeln!(f, "config in force  {}", LatencyLine(&self.config_in_force_ms))?;
        writeln!(f, "drain            {}", LatencyLine(&self.drain_ms))?;
        writeln!(f, "drain, empty     {}", LatencyLine(&self.drain_empty_ms))?;
        writeln!(f, "cancel           {}", LatencyLine(&self.cancel_ms))?;
        writeln!(f, "longest outage   {} ms", self.outage_ms)?;
        writeln!(
            f,
            "{:<10} {:>6} {:>8} {:>8} {:>12} {:>12} {:>12} {:>6}",
            "daemon", "cpu", "rss MB", "peak MB", "control B/s", "worker B/s", "caller B/s", "starts"
        )?;
        let totals = [("schedulers", &self.all_schedulers), ("gateways", &self.all_gateways)];
        for (n, d) in self.daemons.iter().map(|(n, d)| (n.as_str(), d)).chain(totals) {
            writeln!(
                f,
                "{n:<10} {:>6.3} {:>8.1} {:>8.1} {:>12.0} {:>12.0} {:>12.0} {:>6}",
                d.cpu_share_of_core, d.rss_mb, d.rss_peak_mb, d.control_bytes_per_s, d.worker_bytes_per_s, d.caller_bytes_per_s, d.starts
            )?;
        }
        writeln!(f, "the emulation itself took {:.2} cores", self.emulation_cpu_cores)?;
        if let Some((path, v)) = self.own_figure() {
            writeln!(f, "this scenario's figure: {path} = {v:.1}")?;
        }
        for u in &self.unjudged {
            writeln!(f, "not judged: {u}")?;
        }
        let broken: Vec<_> = self.violations.iter().filter(|(_, n)| **n > 0).collect();
        writeln!(f, "rules: {} judged, {} broken", self.violations.len(), broken.len())?;
        for (rule, n) in broken {
            writeln!(f, "  BROKEN {rule}: {n} times")?;
        }
        for x in &self.findings {
            writeln!(f, "    {x}")?;
        }
        Ok(())
    }
}
