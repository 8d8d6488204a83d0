use crate::prelude::*;

/// A job as its caller names and states it. Unknown fields are shed with a typed error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The caller's own name for it: a resend of the same name and content is the same job.
    #[n(0)]
    pub name: Name,
    /// The operators' queue that it goes through.
    #[n(1)]
    pub queue: Name,
    /// The service whose workers may run it, such as `booking`.
    #[n(2)]
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
    /// How many times each of its tasks may fail and be tried again.
    #[n(7)]
    #[serde(default)]
    pub allowed_failures: u32,
    /// True for work that has no end of its own.
    #[n(8)]
    #[serde(default)]
    pub run_until_cancelled: bool,
    /// The steps, at least one.
    #[n(9)]
    pub steps: Vec<StepSpec>,
}

/// One step: alike tasks, started when all the steps named in `after` are done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
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
    /// What the worker is to run.
    #[n(7)]
    #[serde(default)]
    pub payload: Payload,
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
            if s.is_empty() || s.len() > MAX_NAME || s.contains(char::is_whitespace) || s.contains('/') {
                v.push(Fault::new(path, "wants 1 to 120 characters without blanks and slashes"));
            }
        }
        if self.urgency.is_some_and(|u| u > 9) {
            v.push(Fault::new("urgency", "wants 0 to 9"));
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
            if s.cpu_millis == 0 && s.memory_mb == 0 {
                say("cpu_millis", "wants CPU or memory above 0");
            }
            if s.cpu_millis > MAX_SIZE || s.memory_mb > MAX_SIZE {
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

    /// How many tasks it has in all.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.tasks)).sum()
    }

    /// A job of one step, for examples and tools.
    pub fn single(name: &str, queue: &str, service: &str, tasks: u32, cpu_millis: u64, memory_mb: u64) -> Self {
        let step = StepSpec {
            name: "main".into(),
            after: Vec::new(),
            tasks,
            gang: false,
            cpu_millis,
            memory_mb,
            kinds: Vec::new(),
            payload: Payload::default(),
        };
        JobSpec {
            name: name.into(),
            queue: queue.into(),
            service: service.into(),
            labels: BTreeMap::new(),
            urgency: None,
            not_before_unix_ms: None,
            start_after_ms: None,
            allowed_failures: 0,
            run_until_cancelled: false,
            steps: vec![step],
        }
    }
}

/// Longest name, in bytes.
const MAX_NAME: usize = 120;
/// Most steps in a job.
const MAX_STEPS: usize = 1_000;
/// Most tasks in a step.
const MAX_TASKS: u32 = 100_000;
/// Most members of a gang.
const MAX_GANG: u32 = 1_024;
/// Upper bound of a task's CPU and memory figures, so that sums stay far from overflow.
const MAX_SIZE: u64 = 1_000_000_000_000;
