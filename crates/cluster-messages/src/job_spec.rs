use crate::prelude::*;

/// A job as its caller names and states it. Unknown fields are shed with a typed error.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The caller's own name for it: a resend of the same name and content is the same job.
    #[n(0)]
    pub name: Name,
    /// The operators' queue that it goes through.
    #[n(1)]
    pub queue: Name,
    /// The service whose workers may run it, such as `booking`; empty for the one service of its queue.
    #[n(2)]
    #[serde(default)]
    pub service: Name,
    /// Free labels; the lifetime predictor reads them as features.
    #[n(3)]
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
    /// 0 (can wait) to 9; never above what its queue allows. Absent: the queue's.
    #[n(4)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<u8>,
    /// Not before this wall time, in Unix milliseconds.
    #[n(5)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before_unix_ms: Option<u64>,
    /// Not before this many milliseconds after acceptance.
    #[n(6)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_after_ms: Option<u64>,
    /// How many times each of its tasks may fail and be tried again; absent: as often as its queue allows, and without limit
    /// for work that has no end of its own.
    #[n(7)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_failures: Option<u32>,
    /// True for work that has no end of its own.
    #[n(8)]
    #[serde(default)]
    pub run_until_cancelled: bool,
    /// The steps, at least one.
    #[n(9)]
    pub steps: Vec<StepSpec>,
    /// Its number, chosen by its caller; absent: the next one of the cluster.
    #[n(10)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<JobNumber>,
    /// When its steps run again; absent: once.
    #[n(11)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// What the worker is to run, for steps that state nothing themselves.
    #[n(12)]
    #[serde(default, skip_serializing_if = "Payload::is_null")]
    pub payload: Payload,
}

/// One step: alike tasks, started when all the steps named in `after` are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Its name, unique in the job.
    #[n(0)]
    pub name: Name,
    /// The steps that must be done before.
    #[n(1)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<Name>,
    /// How many alike tasks, at least 1.
    #[n(2)]
    pub tasks: u32,
    /// True: its tasks start together or not at all.
    #[n(3)]
    #[serde(default)]
    pub gang: bool,
    /// CPU for each task, in thousandths of a core.
    #[n(4)]
    pub cpu_millis: u64,
    /// Memory for each task, in MB.
    #[n(5)]
    pub memory_mb: u64,
    /// Kinds of worker it may use; empty: whichever its queue allows.
    #[n(6)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<Name>,
    /// What the worker is to run; absent: the job's.
    #[n(7)]
    #[serde(default)]
    pub payload: Payload,
    /// GPUs for each task.
    #[n(8)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub gpus: u64,
    /// Labels that its workers must all bear.
    #[n(9)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub labels: Vec<Name>,
    /// The rack that holds its data: others are taken only when this one has no room.
    #[n(10)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<Name>,
    /// Most of its tasks on one worker at once; 0: as many as fit.
    #[n(11)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub most_per_worker: u32,
    /// True: its tasks report checkpoints, and a new attempt goes on from the last one.
    #[n(12)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// True for a gang that runs faster within one rack.
    #[n(13)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// The caller's guess of how long one task runs; 0: none.
    #[n(14)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// True for a gang whose members end together: one good end stands for all, and a run fails as a whole.
    #[n(15)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub ends_together: bool,
    /// True: copies of a task may run side by side, and whichever ends first counts.
    #[n(16)]
    #[cbor(default)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub copies: bool,
}

impl StepSpec {
    /// Whether it is a gang whose members end together.
    ///
    /// ```
    /// use cluster_messages::StepSpec;
    /// let gang = StepSpec { gang: true, ends_together: true, ..StepSpec::default() };
    /// assert!(gang.is_gang_that_ends_together());
    /// assert!(!StepSpec { gang: false, ..gang }.is_gang_that_ends_together());
    /// ```
    pub fn is_gang_that_ends_together(&self) -> bool {
        self.gang && self.ends_together
    }
}

/// A job whose steps run several times. Occurrences may overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
#[cbor(array)]
pub struct Repeat {
    /// When occurrence 0 falls due, in Unix milliseconds.
    #[n(0)]
    pub first_unix_ms: u64,
    /// From one occurrence to the next.
    #[n(1)]
    pub interval_ms: Millis,
    /// How many occurrences, at least 1.
    #[n(2)]
    pub count: u16,
}

impl JobSpec {
    /// Every fault of the shape of this job, with its path; empty when it can be accepted.
    ///
    /// ```
    /// use cluster_messages::{JobSpec, StepSpec};
    /// let mut j = JobSpec::single("hold-7", "table-holds", "booking", 2, 500, 256);
    /// assert!(j.faults().is_empty());
    /// j.steps[0].after = vec!["late".into()];
    /// assert_eq!(j.faults()[0].path, "steps[0].after[0]");
    /// ```
    pub fn faults(&self) -> Vec<Fault> {
        let mut v = Vec::new();
        for (path, s) in [("name", &self.name), ("queue", &self.queue), ("service", &self.service)] {
            let left_out = path == "service" && s.is_empty();
            if s.is_empty() && !left_out || s.len() > MAX_NAME || s.contains(char::is_whitespace) || s.contains('/') {
                v.push(Fault::new(path, "wants 1 to 120 characters without blanks and slashes"));
            }
        }
        if self.urgency.is_some_and(|u| u > 9) {
            v.push(Fault::new("urgency", "wants 0 to 9"));
        }
        if self.repeat.is_some_and(|r| r.count == 0 || r.count > MAX_OCCURRENCES || (r.count > 1 && r.interval_ms == 0)) {
            v.push(Fault::new("repeat", "wants 1 to 1,000 occurrences at an interval above 0"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            v.push(Fault::new("steps", "wants 1 to 1,000 steps"));
        }
        let at: BTreeMap<&str, usize> = self.steps.iter().enumerate().map(|(i, s)| (s.name.as_str(), i)).collect();
        for (i, s) in self.steps.iter().enumerate() {
            let mut say = |field: &str, what: &str| v.push(Fault::new(format!("steps[{i}].{field}"), what));
            if s.name.is_empty() || s.name.len() > MAX_NAME || at.get(s.name.as_str()) != Some(&i) {
                say("name", "wants a name that no other step has");
            }
            if s.tasks == 0 || s.tasks > MAX_TASKS {
                say("tasks", "wants 1 to 100,000 tasks");
            }
            if s.gang && s.tasks > MAX_GANG {
                say("gang", "wants at most 1,024 members");
            }
            if s.cpu_millis == 0 && s.memory_mb == 0 && s.gpus == 0 {
                say("cpu_millis", "wants CPU or memory above 0");
            }
            if s.cpu_millis > MAX_SIZE || s.memory_mb > MAX_SIZE || s.gpus > MAX_SIZE || s.estimate_ms > MAX_SIZE {
                say("cpu_millis", "wants sizes below 10^12");
            }
            for (k, a) in s.after.iter().enumerate() {
                if !at.contains_key(a.as_str()) {
                    say(&format!("after[{k}]"), "names no step of this job");
                }
            }
        }
        if v.is_empty() && self.has_cycle(&at) {
            v.push(Fault::new("steps", "wait for each other in a circle"));
        }
        v
    }

    /// Whether steps wait for each other in a circle.
    fn has_cycle(&self, at: &BTreeMap<&str, usize>) -> bool {
        let mut left: Vec<usize> = self.steps.iter().map(|s| s.after.len()).collect();
        let mut ready: Vec<usize> = (0..left.len()).filter(|&i| left[i] == 0).collect();
        let mut next: Vec<Vec<usize>> = vec![Vec::new(); left.len()];
        for (i, s) in self.steps.iter().enumerate() {
            for a in &s.after {
                next[at[a.as_str()]].push(i);
            }
        }
        let mut done = 0;
        while let Some(i) = ready.pop() {
            done += 1;
            for &k in &next[i] {
                left[k] -= 1;
                if left[k] == 0 {
                    ready.push(k);
                }
            }
        }
        done < self.steps.len()
    }

    /// How many tasks it has in all occurrences.
    pub fn task_count(&self) -> u64 {
        let once: u64 = self.steps.iter().map(|s| u64::from(s.tasks)).sum();
        once * u64::from(self.occurrences())
    }

    /// How many times its steps run.
    pub fn occurrences(&self) -> u16 {
        self.repeat.map_or(1, |r| r.count)
    }

    /// What the worker is to run for a step.
    pub fn payload_of(&self, step: u16) -> &Payload {
        match self.steps.get(usize::from(step)).map(|s| &s.payload) {
            Some(own) if !own.is_null() => own,
            _ => &self.payload,
        }
    }

    /// A job of one step, for examples and tools.
    pub fn single(name: &str, queue: &str, service: &str, tasks: u32, cpu_millis: u64, memory_mb: u64) -> Self {
        let step = StepSpec { name: "main".into(), tasks, cpu_millis, memory_mb, ..StepSpec::default() };
        JobSpec {
            name: name.into(),
            queue: queue.into(),
            service: service.into(),
            allowed_failures: Some(0),
            steps: vec![step],
            ..JobSpec::default()
        }
    }
}

/// Longest name, in bytes.
const MAX_NAME: usize = 120;
/// Most occurrences of a job.
const MAX_OCCURRENCES: u16 = 1_000;
/// Most steps in a job.
const MAX_STEPS: usize = 1_000;
/// Most tasks in a step.
const MAX_TASKS: u32 = 100_000;
/// Most members of a gang.
const MAX_GANG: u32 = 1_024;
/// Upper bound of a task's CPU and memory figures, so that sums stay far from overflow.
const MAX_SIZE: u64 = 1_000_000_000_000;
