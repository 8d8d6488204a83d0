use crate::prelude::*;

/// From, to: both included.
pub type Span = (u64, u64);

/// One kind of job that callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct JobStream {
    /// First part of its jobs' names.
    pub prefix: &'static str,
    /// Its queue, or the first part of its queues' names.
    pub queue: &'static str,
    /// 0: one queue of that name; else so many, numbered from 000.
    pub queues: u32,
    /// The service.
    pub service: &'static str,
    /// Jobs a second.
    pub per_second: f64,
    /// Steps, each after the one before.
    pub steps: Span,
    /// Tasks in each step.
    pub tasks: Span,
    /// Share of steps that are gangs. With `doubling`, sizes are powers of two, each half as usual as the one below.
    pub gang_share: f64,
    /// See `gang_share`.
    pub doubling: bool,
    /// How long each task runs, before the time scale.
    pub run_ms: Span,
    /// CPU of each task, in thousandths of a core.
    pub cpu_millis: Span,
    /// Memory of each task.
    pub memory_mb: Span,
    /// Runs until cancelled, and is cancelled after this time, before the time scale.
    pub cancelled_after_ms: Option<Span>,
    /// Urgency of its queues.
    pub urgency: u8,
}

/// A value of a span.
pub(crate) fn within(rng: &mut ChaCha8Rng, (from, to): Span) -> u64 {
    rng.random_range(from..=to.max(from))
}

impl JobStream {
    /// Makes the next job of this stream.
    pub fn job(&self, name: Name, settings: &CallerSettings, now: Millis, rng: &mut ChaCha8Rng) -> JobSpec {
        let scaled = |ms: u64| ((ms as f64 * settings.time_scale) as u64).max(1);
        let steps = within(rng, self.steps) as usize;
        let fails = rng.random_bool(settings.failing_share);
        let steps: Vec<StepSpec> = (0..steps)
            .map(|i| {
                let gang_share = settings.gang_share.filter(|_| self.gang_share > 0.0).unwrap_or(self.gang_share);
                let gang = rng.random_bool(gang_share);
                let run_ms = scaled(within(rng, self.run_ms));
                let outcome = if fails && i + 1 == steps { "failed" } else { "succeeded" };
                let tasks = self.task_count(rng);
                let ends_together = gang && settings.together_share > 0.0 && rng.random_bool(settings.together_share);
                let mut step = StepSpec {
                    name: format!("step-{i}"),
                    after: if i == 0 { Vec::new() } else { vec![format!("step-{}", i - 1)] },
                    tasks,
                    gang,
                    ends_together,
                    cpu_millis: within(rng, self.cpu_millis),
                    memory_mb: within(rng, self.memory_mb),
                    payload: Payload(json!({"run_ms": run_ms, "outcome": outcome})),
                    ..StepSpec::default()
                };
                state_members(&mut step);
                step
            })
            .collect();
        let queue = if self.queues == 0 {
            self.queue.to_owned()
        } else {
            // The square leans towards the first: some teams send far more than others.
            let u: f64 = rng.random();
            format!("{}-{:03}", self.queue, (u * u * f64::from(self.queues)) as u32)
        };
        let mut spec = JobSpec {
            name,
            queue,
            service: self.service.to_owned(),
            labels: BTreeMap::from([("stream".to_owned(), self.prefix.to_owned())]),
            urgency: (!rng.random_bool(settings.urgent_share)).then_some(self.urgency / 2),
            allowed_failures: Some(settings.allowed_failures),
            run_until_cancelled: self.cancelled_after_ms.is_some(),
            steps,
            ..JobSpec::default()
        };
        if rng.random_bool(settings.timed_share) {
            let later = scaled(within(rng, TIMED_LATER_MS));
            if rng.random() {
                spec.start_after_ms = Some(later);
            } else {
                spec.not_before_unix_ms = Some(settings.unix_at_zero_ms + now + later);
            }
        }
        if rng.random_bool(settings.impossible_share) {
            let s = &mut spec.steps[0];
            match rng.random_range(0..3) {
                0 => s.kinds = vec!["no-such-kind".to_owned()],
                1 => s.memory_mb = NO_WORKERS_MEMORY_MB,
                _ => (s.gang, s.tasks, s.cpu_millis) = (true, LARGEST_GANG, NO_FLEETS_CPU_MILLIS),
            }
        }
        spec
    }

    /// How many tasks a step has.
    fn task_count(&self, rng: &mut ChaCha8Rng) -> u32 {
        if !self.doubling {
            return within(rng, self.tasks) as u32;
        }
        let mut n = self.tasks.0.max(1);
        while n * 2 <= self.tasks.1 && rng.random() {
            n *= 2;
        }
        n as u32
    }
}

/// States in the payload of a gang that ends together how many members it has.
pub(crate) fn state_members(step: &mut StepSpec) {
    if step.is_gang_that_ends_together() {
        step.payload.0["members"] = step.tasks.into();
    }
}

/// How much later timed jobs start, before the time scale.
const TIMED_LATER_MS: Span = (1_000, 8_000);
/// More memory than any worker has.
const NO_WORKERS_MEMORY_MB: u64 = 1_000_000_000;
/// The largest gang that is taken.
pub(crate) const LARGEST_GANG: u32 = 1_024;
/// With that gang, more than any fleet has.
const NO_FLEETS_CPU_MILLIS: u64 = 16_000;
