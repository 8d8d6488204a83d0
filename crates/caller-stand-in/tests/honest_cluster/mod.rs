//! A cluster that does what it should, in simulated time, behind a network that loses messages.

use caller_stand_in::prelude::*;

/// One event on its way.
enum Event {
    Request { ticket: u64, call: CallBody },
    Answer { ticket: u64, result: CallResult<AnswerBody> },
    Start { job: Name, step: usize },
    End { job: Name, step: usize, index: u32, number: u16 },
}

struct Job {
    number: u64,
    spec: JobSpec,
    state: JobState,
    running: BTreeSet<(usize, u32, u16)>,
    left: Vec<u32>,
}

/// The cluster with its network, and the record of all who watch.
pub struct HonestCluster {
    events: Timers<Event>,
    jobs: BTreeMap<Name, Job>,
    changes: BTreeMap<String, (u64, ConfigurationAccepted)>,
    orders: BTreeSet<String>,
    version: u64,
    tree: Value,
    pub workers: Vec<Name>,
    pub lost_share: f64,
    /// Errors that all calls are answered with while there are any.
    pub error: Option<CallError>,
    pub seen: Vec<(Millis, Observation)>,
    /// What was sent: (when, gateway, call, time budget).
    pub sent: Vec<(Millis, usize, CallBody, Millis)>,
    pub given_up: Vec<CallBody>,
    rng: ChaCha8Rng,
}

const ROOM: u64 = 100_000_000;

fn digest(tree: &Value) -> String {
    SettingsTree::from_value(tree).unwrap().digest().to_string()
}

impl HonestCluster {
    pub fn new(seed: u64, lost_share: f64) -> Self {
        let mut c = HonestCluster {
            events: Timers::default(),
            jobs: BTreeMap::new(),
            changes: BTreeMap::new(),
            orders: BTreeSet::new(),
            version: 0,
            tree: json!({}),
            workers: Vec::new(),
            lost_share,
            error: None,
            seen: Vec::new(),
            sent: Vec::new(),
            given_up: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (i, service) in ["booking", "theory-tests", "teams"].into_iter().enumerate() {
            let name = format!("w-{service}");
            let o = Observation::WorkerKnown {
                name,
                cpu_millis: ROOM,
                memory_mb: ROOM,
                kind: "new".into(),
                service: service.into(),
                // Nobody evacuates or drains these: where tasks go is not what is tested here.
                zone: format!("apart-{i}"),
                rack: "r".into(),
            };
            c.seen.push((0, o));
        }
        c
    }

    /// Runs a model against it until a time.
    pub fn run(&mut self, model: &mut impl Model, from: Millis, until: Millis) {
        let mut now = from;
        self.feed(model, now, CallerInput::Tick);
        loop {
            let next = [model.next_due(), self.events.next_due()].into_iter().flatten().min();
            now = match next {
                Some(t) if t <= until => t.max(now),
                _ => return,
            };
            match self.events.take_due(now) {
                Some((_, e)) => self.event(model, now, e),
                None => self.feed(model, now, CallerInput::Tick),
            }
        }
    }

    /// Hands a model one input, and obeys.
    pub fn feed(&mut self, model: &mut impl Model, now: Millis, input: CallerInput) {
        for e in model.step(now, input) {
            match e {
                CallerEffect::Observe(o) => self.seen.push((now, o)),
                CallerEffect::GiveUp { call } => self.given_up.push(call),
                CallerEffect::Send { ticket, gateway, call, time_budget_ms } => {
                    self.sent.push((now, gateway, call.clone(), time_budget_ms));
                    self.travel(now, Event::Request { ticket, call });
                }
            }
        }
    }

    /// A message's way, unless it is lost.
    fn travel(&mut self, now: Millis, e: Event) {
        if !self.rng.random_bool(self.lost_share) {
            self.events.set(now + self.rng.random_range(1..20), e);
        }
    }

    fn event(&mut self, model: &mut impl Model, now: Millis, e: Event) {
        match e {
            Event::Request { ticket, call } => {
                let result = match &self.error {
                    Some(e) => Err(e.clone()),
                    None => self.answer(now, call),
                };
                self.travel(now, Event::Answer { ticket, result });
            }
            Event::Answer { ticket, result } => self.feed(model, now, CallerInput::Answered { ticket, result }),
            Event::Start { job, step } => self.start(now, &job, step),
            Event::End { job, step, index, number } => self.end(now, &job, step, index, number),
        }
    }

    fn start(&mut self, now: Millis, name: &str, step: usize) {
        let Some(j) = self.jobs.get(name) else { return };
        let s = &j.spec.steps[step];
        if j.state.is_final() || s.memory_mb > ROOM || s.kinds.contains(&"no-such-kind".to_owned()) {
            return;
        }
        for index in 0..j.spec.steps[step].tasks {
            self.run_task(now, name, (step, index, 1));
        }
    }

    fn attempt(j: &Job, (step, index, number): (usize, u32, u16)) -> AttemptId {
        AttemptId { task: TaskId::new(j.number, step as u16, index), number }
    }

    fn run_task(&mut self, now: Millis, name: &str, run: (usize, u32, u16)) {
        let j = self.jobs.get_mut(name).unwrap();
        let s = &j.spec.steps[run.0];
        (j.state, _) = (JobState::Running, j.running.insert(run));
        let o = Observation::RunStarted {
            worker: format!("w-{}", j.spec.service),
            boot: "b".into(),
            attempt: Self::attempt(j, run),
            job_name: name.into(),
            cpu_millis: s.cpu_millis,
            memory_mb: s.memory_mb,
            ordered_at: now,
        };
        self.seen.push((now, o));
        if !j.spec.run_until_cancelled {
            let ms = s.payload.0["run_ms"].as_u64().unwrap();
            self.events.set(now + ms, Event::End { job: name.into(), step: run.0, index: run.1, number: run.2 });
        }
    }

    fn end(&mut self, now: Millis, name: &str, step: usize, index: u32, number: u16) {
        let j = self.jobs.get_mut(name).unwrap();
        if !j.running.remove(&(step, index, number)) {
            return;
        }
        let good = j.spec.steps[step].payload.0["outcome"] == "succeeded";
        let outcome = if good { Outcome::Succeeded } else { Outcome::Failed };
        let o = Self::run_ended(j, name, (step, index, number), outcome);
        self.seen.push((now, o));
        if !good {
            if u32::from(number) <= j.spec.allowed_failures.unwrap_or(0) {
                return self.run_task(now, name, (step, index, number + 1));
            }
            return self.close(now, name, JobState::Failed);
        }
        j.left[step] -= 1;
        if j.left[step] == 0 && step + 1 < j.left.len() {
            self.events.set(now, Event::Start { job: name.into(), step: step + 1 });
        } else if j.left.iter().all(|n| *n == 0) {
            j.state = JobState::Succeeded;
        }
    }

    fn run_ended(j: &Job, name: &str, run: (usize, u32, u16), outcome: Outcome) -> Observation {
        let worker = format!("w-{}", j.spec.service);
        Observation::RunEnded { worker, boot: "b".into(), attempt: Self::attempt(j, run), job_name: name.into(), outcome }
    }

    /// Stops all that runs of a job.
    fn close(&mut self, now: Millis, name: &str, state: JobState) {
        let j = self.jobs.get_mut(name).unwrap();
        j.state = state;
        for run in std::mem::take(&mut j.running) {
            let o = Self::run_ended(j, name, run, Outcome::Stopped);
            self.seen.push((now, o));
        }
    }

    fn answer(&mut self, now: Millis, call: CallBody) -> CallResult<AnswerBody> {
        let none = |name: &str| CallError::NotFound { what: "job".into(), name: name.into() };
        Ok(match call {
            CallBody::SubmitJob(c) => AnswerBody::SubmitJob(self.submit(now, c.spec)),
            CallBody::CancelJob(c) => {
                let state = self.jobs.get(&c.name).ok_or_else(|| none(&c.name))?.state;
                if !state.is_final() {
                    self.close(now, &c.name, JobState::Cancelled);
                }
                AnswerBody::CancelJob(JobCancelled { state: self.jobs[&c.name].state, name: c.name })
            }
            CallBody::GetJob(c) => {
                let j = self.jobs.get(&c.name).ok_or_else(|| none(&c.name))?;
                let summary = JobSummary {
                    job: j.number,
                    name: c.name,
                    queue: j.spec.queue.clone(),
                    state: j.state,
                    urgency: 5,
                    tasks: TaskCounts::default(),
                    failures: 0,
                    accepted_at_ms: 0,
                    ended_at_ms: None,
                };
                AnswerBody::GetJob(JobStatus { summary, steps: Vec::new(), attempts: Vec::new() })
            }
            CallBody::GetConfiguration(_) => {
                let tree = Payload(self.tree.clone());
                AnswerBody::GetConfiguration(Configuration { version: self.version, digest: digest(&self.tree), tree, source: None })
            }
            CallBody::PutConfiguration(c) => AnswerBody::PutConfiguration(self.put(c)?),
            CallBody::ListWorkers(_) => AnswerBody::ListWorkers(WorkerList { workers: self.workers.iter().map(|w| summary(w)).collect() }),
            CallBody::DrainWorker(c) => AnswerBody::DrainWorker(WorkerDrained { name: c.name, draining: c.on, attempts: 0 }),
            CallBody::EvacuateZone(c) => {
                let already = !self.orders.insert(c.order_id);
                AnswerBody::EvacuateZone(ZoneEvacuated { zone: c.zone, on: c.on, already, attempts: 0 })
            }
            other => panic!("{} is not what callers and operators send", other.name()),
        })
    }

    fn submit(&mut self, now: Millis, spec: JobSpec) -> JobAccepted {
        let name = spec.name.clone();
        if let Some(j) = self.jobs.get(&name) {
            assert_eq!(j.spec, spec, "a resend has the same content");
            return JobAccepted { name, job: j.number, state: j.state, already: true };
        }
        let job = self.jobs.len() as u64 + 1;
        let at = (now + spec.start_after_ms.unwrap_or(0)).max(spec.not_before_unix_ms.unwrap_or(0));
        self.events.set(at, Event::Start { job: name.clone(), step: 0 });
        let left = spec.steps.iter().map(|s| s.tasks).collect();
        self.jobs.insert(name.clone(), Job { number: job, spec, state: JobState::Waiting, running: BTreeSet::new(), left });
        JobAccepted { name, job, state: JobState::Waiting, already: false }
    }

    fn put(&mut self, c: PutConfiguration) -> CallResult<ConfigurationAccepted> {
        if let Some((_, a)) = self.changes.get(&c.change_id) {
            return Ok(ConfigurationAccepted { already: true, ..a.clone() });
        }
        if let Err(e) = SettingsTree::from_value(&c.tree.0) {
            return Err(CallError::Invalid {
                faults: e.faults.iter().map(|f| Fault::new(f.path.clone(), f.problem.to_string())).collect(),
            });
        }
        if c.base_version != self.version {
            return Err(CallError::RacedBase { base: c.base_version, current: self.version });
        }
        (self.version, self.tree) = (self.version + 1, c.tree.0);
        let a = ConfigurationAccepted { version: self.version, digest: digest(&self.tree), already: false };
        self.changes.insert(c.change_id, (self.version, a.clone()));
        Ok(a)
    }

    /// The first violations that the oracle finds, by rule.
    pub fn verdict(&self, at: Millis) -> fleet_oracle::Verdict {
        let mut o = fleet_oracle::Oracle::new(fleet_oracle::OracleBounds::default());
        for (at, s) in &self.seen {
            o.observe(*at, s.clone());
        }
        o.finish(at)
    }
}

fn summary(name: &str) -> WorkerSummary {
    WorkerSummary {
        name: name.into(),
        address: String::new(),
        boot_id: "b".into(),
        service: "booking".into(),
        kind: "new".into(),
        rack: "r".into(),
        zone: "z1".into(),
        cpu_millis: 16_000,
        memory_mb: 64_000,
        reachable: true,
        ..WorkerSummary::default()
    }
}
