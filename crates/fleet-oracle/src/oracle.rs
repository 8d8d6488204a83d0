use crate::prelude::*;

/// Judges a run: give it everything seen from outside in the order of true time, then ask for the verdict.
///
/// ```
/// use cluster_messages::JobSpec;
/// use fleet_oracle::{Observation, Oracle, OracleBounds, Rule};
/// let mut o = Oracle::new(OracleBounds::default());
/// o.observe(10, Observation::JobSent { spec: JobSpec::single("hold-7", "holds", "booking", 1, 500, 256) });
/// let verdict = o.finish(20);
/// assert!(verdict.is_clean());
/// assert_eq!(verdict.violations.len(), Rule::ALL.len());
/// ```
pub struct Oracle {
    pub(crate) bounds: OracleBounds,
    pub(crate) tally: Tally,
    pub(crate) book: FigureBook,
    pub(crate) jobs: BTreeMap<Name, JobRecord>,
    pub(crate) workers: BTreeMap<Name, WorkerRecord>,
    pub(crate) zones: BTreeMap<Name, OrderWatch>,
    evacuations_done: HashSet<String>,
    /// Gangs to look at again: when, which job, which step.
    pub(crate) gang_checks: BTreeSet<(Millis, Name, u16)>,
    pub(crate) configuration: ConfigurationWatch,
    pub(crate) service: ServiceWatch,
    pub(crate) gateways: BTreeMap<Name, u32>,
    pub(crate) final_reads: bool,
    now: Millis,
}

impl Oracle {
    /// A judge who has seen nothing yet.
    pub fn new(bounds: OracleBounds) -> Self {
        Oracle {
            tally: Tally::new(bounds.examples_per_rule),
            bounds,
            book: FigureBook::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            zones: BTreeMap::new(),
            evacuations_done: HashSet::new(),
            gang_checks: BTreeSet::new(),
            configuration: ConfigurationWatch::default(),
            service: ServiceWatch::default(),
            gateways: BTreeMap::new(),
            final_reads: false,
            now: 0,
        }
    }

    /// Takes one observation; `at` may not fall (an earlier time counts as the latest given).
    pub fn observe(&mut self, at: Millis, observation: Observation) {
        let at = at.max(self.now);
        self.now = at;
        self.check_gangs(at);
        match observation {
            Observation::JobSent { spec } => self.job_sent(at, spec),
            Observation::JobAnswered { name, answer } => self.job_answered(at, &name, answer),
            Observation::JobSeen { name, state, through, asked_at } => self.job_seen(at, &name, state, &through, asked_at),
            Observation::JobAbsent { name, through, asked_at } => self.job_absent(at, &name, &through, asked_at),
            Observation::CancelSent { name } => self.cancel_sent(at, &name),
            Observation::CancelAnswered { name, state } => self.cancel_answered(at, &name, state),
            Observation::WorkerKnown { name, cpu_millis, memory_mb, kind, service, zone, .. } => {
                let w = self.workers.entry(name).or_default();
                (w.known, w.cpu_millis, w.memory_mb) = (true, cpu_millis, memory_mb);
                (w.kind, w.service, w.zone) = (kind, service, zone);
            }
            Observation::WorkerUnreachable { worker, on } => {
                let w = self.workers.entry(worker).or_default();
                if w.unreachable && !on {
                    w.reachable_since = at;
                }
                w.unreachable = on;
            }
            Observation::RunStarted { worker, boot, attempt, job_name, cpu_millis, memory_mb, ordered_at } => {
                self.run_started(at, Start { worker, boot, attempt, job_name, cpu_millis, memory_mb, ordered_at });
            }
            Observation::RunEnded { worker, boot, attempt, job_name, outcome } => {
                self.run_closed(at, (&worker, &boot, attempt), &job_name, Some(outcome));
            }
            Observation::RunLost { worker, boot, attempt, job_name } => self.run_closed(at, (&worker, &boot, attempt), &job_name, None),
            Observation::ResultLost { attempt, job_name, outcome, .. } => self.result_lost(&job_name, attempt, outcome),
            Observation::DrainSent { worker, on } => self.workers.entry(worker).or_default().drain.sent(on, at),
            Observation::DrainAnswered { worker, on } => self.drain_answered(at, worker, on),
            Observation::EvacuationSent { zone, on, order_id } => {
                if !self.evacuations_done.contains(&order_id) {
                    self.zones.entry(zone).or_default().sent(on, at);
                }
            }
            Observation::EvacuationAnswered { zone, on, order_id } => {
                if self.evacuations_done.insert(order_id) {
                    self.zones.entry(zone).or_default().answered(on, at);
                }
            }
            Observation::ConfigurationKinds { change_id, kinds } => self.configuration.kinds(change_id, kinds),
            Observation::ConfigurationSent { base, change_id, digest } => self.configuration.sent(base, change_id, digest),
            Observation::ConfigurationAnswered { change_id, answer } => {
                self.configuration.answered(at, &change_id, answer, &mut self.book, &mut self.tally);
            }
            Observation::ConfigurationSeen { through, version, digest, asked_at } => {
                if self.final_reads {
                    self.configuration.seen_at_end(at, &through, version, &digest, &mut self.tally);
                } else {
                    let read = (through.as_str(), version, digest.as_str(), asked_at);
                    self.configuration.seen(at, read, &self.bounds, &mut self.book, &mut self.tally);
                }
            }
            Observation::FinalReads => self.final_reads = true,
        }
    }

    /// The verdict at the end of the run.
    pub fn finish(mut self, at: Millis) -> Verdict {
        let at = at.max(self.now);
        self.check_gangs(at);
        self.configuration.finish(at, &self.bounds, &mut self.tally);
        for (name, j) in &mut self.jobs {
            if j.accepted.is_some()
                && j.last_absent
                && !j.may_be_forgotten(at, self.bounds.retention_ms)
                && j.first_time(Rule::AcknowledgedLost)
            {
                self.tally.add(Rule::AcknowledgedLost, at, || format!("accepted job {name} is gone at the end"));
            }
            j.count_outcome(&mut self.book.counts);
        }
        let (violations, examples) = self.tally.finish();
        Verdict { violations, examples, figures: self.book.finish(self.service.longest()) }
    }
}
