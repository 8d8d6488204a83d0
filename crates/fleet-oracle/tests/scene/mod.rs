//! A run being told to the oracle, event by event.
#![allow(dead_code)]

use fleet_oracle::prelude::*;

/// A run being told to the oracle.
pub struct Scene {
    pub oracle: Oracle,
}

pub fn job(name: &str, tasks: u32) -> JobSpec {
    JobSpec::single(name, "holds", "booking", tasks, 1_000, 1_000)
}

impl Scene {
    /// Two workers in two zones.
    pub fn new() -> Self {
        let mut s = Scene { oracle: Oracle::new(OracleBounds { retention_ms: 60_000, ..OracleBounds::default() }) };
        for (name, kind, zone) in [("w1", "new", "north"), ("w2", "old", "south")] {
            let (service, rack) = ("booking".into(), "r1".into());
            let (name, kind, zone) = (name.into(), kind.into(), zone.into());
            s.see(0, Observation::WorkerKnown { name, cpu_millis: 4_000, memory_mb: 4_000, kind, service, zone, rack });
        }
        s
    }

    pub fn see(&mut self, at: Millis, o: Observation) {
        self.oracle.observe(at, o);
    }

    /// Sends a job and has it accepted 10 ms later.
    pub fn accept(&mut self, at: Millis, number: u64, spec: JobSpec) {
        let name = spec.name.clone();
        self.see(at, Observation::JobSent { spec });
        let accepted = JobAccepted { name: name.clone(), job: number, state: JobState::Waiting, already: false };
        self.see(at + 10, Observation::JobAnswered { name, answer: Ok(accepted) });
    }

    pub fn start(&mut self, at: Millis, worker: &str, name: &str, attempt: &str) {
        self.late_start(at, at, worker, name, attempt);
    }

    pub fn late_start(&mut self, ordered_at: Millis, at: Millis, worker: &str, name: &str, attempt: &str) {
        let (worker, boot, job_name) = (worker.into(), "b1".into(), name.into());
        let attempt = attempt.parse().unwrap();
        self.see(at, Observation::RunStarted { worker, boot, attempt, job_name, cpu_millis: 1_000, memory_mb: 1_000, ordered_at });
    }

    pub fn end(&mut self, at: Millis, worker: &str, name: &str, attempt: &str, outcome: Outcome) {
        let (worker, boot, job_name) = (worker.into(), "b1".into(), name.into());
        self.see(at, Observation::RunEnded { worker, boot, attempt: attempt.parse().unwrap(), job_name, outcome });
    }

    pub fn run(&mut self, at: Millis, worker: &str, name: &str, attempt: &str, outcome: Outcome) {
        self.start(at, worker, name, attempt);
        self.end(at + 100, worker, name, attempt, outcome);
    }

    pub fn shown(&mut self, at: Millis, name: &str, state: JobState) {
        self.see(at, Observation::JobSeen { name: name.into(), state, through: "g1".into(), asked_at: at - 1 });
    }

    pub fn absent(&mut self, at: Millis, name: &str, through: &str) {
        self.see(at, Observation::JobAbsent { name: name.into(), through: through.into(), asked_at: at - 1 });
    }

    pub fn cancel(&mut self, at: Millis, name: &str) {
        self.see(at, Observation::CancelSent { name: name.into() });
        self.see(at + 10, Observation::CancelAnswered { name: name.into(), state: JobState::Cancelling });
    }

    pub fn change(&mut self, at: Millis, base: u64, id: &str, answer: CallResult<u64>) {
        let digest = format!("tree-{id}");
        self.see(at, Observation::ConfigurationSent { base, change_id: id.into(), digest: digest.clone() });
        let answer = answer.map(|version| ConfigurationAccepted { version, digest, already: false });
        self.see(at + 10, Observation::ConfigurationAnswered { change_id: id.into(), answer });
    }

    pub fn config(&mut self, at: Millis, through: &str, version: u64, id: &str) {
        let digest = format!("tree-{id}");
        self.see(at, Observation::ConfigurationSeen { through: through.into(), version, digest, asked_at: at - 1 });
    }

    pub fn verdict(self) -> Verdict {
        self.oracle.finish(100_000)
    }

    /// This rule fired once, and no other one.
    pub fn fires(self, rule: Rule) {
        let v = self.verdict();
        for r in Rule::ALL {
            assert_eq!(v.count(*r), u64::from(*r == rule), "{}: {:?}", r.name(), v.examples);
        }
        assert_eq!(v.examples.len(), 1);
    }

    pub fn clean(self) -> Figures {
        let v = self.verdict();
        assert!(v.is_clean(), "{:?}", v.examples);
        assert_eq!(v.violations.len(), Rule::ALL.len());
        v.figures
    }
}

pub fn raced() -> CallError {
    CallError::RacedBase { base: 0, current: 1 }
}
