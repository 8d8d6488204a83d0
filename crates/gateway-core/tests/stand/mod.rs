#![allow(dead_code)]
use gateway_core::prelude::*;

pub const ME: &str = "g1";
pub const W: &str = "w1";
pub const AT: &str = "127.0.9.1:80";
pub const LEADER: &str = "127.0.0.2:70";
/// The assignment under which [`W`] is held.
pub const ASSIGNMENT: u64 = 1;
pub const BUDGET: Millis = 1_000;

/// A gateway with one channel, driven by hand.
pub struct Stand {
    pub core: GatewayCore,
    pub now: Millis,
    pub channel: ChannelId,
    pub view: u64,
    pub log_ahead: Millis,
}

impl Stand {
    pub fn new() -> Self {
        Self::with(GatewaySettings { inbox: 40, ..GatewaySettings::default() })
    }

    pub fn with(s: GatewaySettings) -> Self {
        let core = GatewayCore::new(s, ME.into(), "z1".into(), "127.0.0.1:70".into(), 3, vec![LEADER.into()], 0);
        Stand { core, now: 0, channel: 0, view: 0, log_ahead: 5_000 }
    }

    /// One that is attached and holds [`W`].
    pub fn attached() -> Self {
        let mut t = Self::new();
        t.attach();
        t.update(|u| u.workers = vec![worker(W, "b1", Some(ME))]);
        t
    }

    pub fn step(&mut self, input: GatewayInput) -> Vec<GatewayEffect> {
        let mut fx = Vec::new();
        self.core.step(self.now, input, &mut fx);
        fx
    }

    pub fn tick(&mut self, ms: Millis) -> Vec<GatewayEffect> {
        self.now += ms;
        self.step(GatewayInput::Tick)
    }

    /// Ticks until something of a kind shows.
    pub fn until(&mut self, mut wanted: impl FnMut(&GatewayEffect) -> bool) -> Vec<GatewayEffect> {
        for _ in 0..1_000 {
            let fx = self.tick(20);
            if fx.iter().any(&mut wanted) {
                return fx;
            }
        }
        panic!("never seen")
    }

    pub fn log_time(&self) -> Millis {
        self.now + self.log_ahead
    }

    pub fn attach(&mut self) -> Vec<GatewayEffect> {
        self.until(|e| matches!(e, GatewayEffect::Dial { .. }));
        self.channel += 1;
        let fx = self.step(GatewayInput::ChannelUp { channel: self.channel, address: LEADER.into() });
        assert!(matches!(sent(&fx)[..], [GatewayFrame::Attach { .. }]), "{fx:?}");
        let log_time_ms = self.log_time();
        self.frame(SchedulerFrame::Attached { node: 1, term: 1, log_time_ms, schedulers: vec![LEADER.into()] })
    }

    pub fn frame(&mut self, frame: SchedulerFrame) -> Vec<GatewayEffect> {
        let channel = self.channel;
        self.step(GatewayInput::Frame { channel, frame })
    }

    pub fn update(&mut self, f: impl FnOnce(&mut ViewUpdate)) -> Vec<GatewayEffect> {
        self.view += 1;
        let mut u = ViewUpdate { upto: self.view, log_time_ms: self.log_time(), ..ViewUpdate::default() };
        f(&mut u);
        self.frame(SchedulerFrame::Update(u))
    }

    pub fn echo(&mut self, fx: &[GatewayEffect]) -> Vec<GatewayEffect> {
        let log_time_ms = self.log_time();
        let stamp = sent(fx).iter().find_map(|f| match f {
            GatewayFrame::Pulse { stamp, .. } => Some(*stamp),
            _ => None,
        });
        self.frame(SchedulerFrame::PulseEcho { stamp: stamp.unwrap(), log_time_ms })
    }

    pub fn down(&mut self) -> Vec<GatewayEffect> {
        let channel = self.channel;
        self.step(GatewayInput::ChannelDown { channel })
    }

    pub fn ask(&mut self, ask: u64, body: CallBody) -> Vec<GatewayEffect> {
        self.step(GatewayInput::Ask { ask, time_budget_ms: BUDGET, body })
    }

    pub fn order(&self, a: AttemptId) -> StartOrder {
        StartOrder {
            gang_by_ms: None,
            attempt: a,
            fence: ASSIGNMENT,
            worker: W.into(),
            job_name: "j".into(),
            service: "s".into(),
            cpu_millis: 1,
            memory_mb: 1,
            run_until_cancelled: false,
            payload: Payload::default(),
            intended_at_ms: self.log_time(),
            time_budget_ms: 500,
            checkpoint: None,
            lease_until_ms: None,
            estimate_ms: 0,
        }
    }

    pub fn give(&mut self, a: AttemptId) -> Vec<GatewayEffect> {
        let o = self.order(a);
        self.update(|u| u.starts = vec![o])
    }

    pub fn stop(&mut self, a: AttemptId) -> Vec<GatewayEffect> {
        self.update(|u| u.stops = vec![StopOrder::unsent(a, W.into())])
    }

    pub fn started(&mut self, a: AttemptId, reply: Reply<StartResult>) -> Vec<GatewayEffect> {
        let reply = map(reply, |result| StartAnswer { attempt: a, result, boot_id: "b1".into(), clock_ms: None });
        self.step(GatewayInput::StartAnswered { attempt: a, reply })
    }

    pub fn stopped(&mut self, a: AttemptId, reply: Reply<StopResult>) -> Vec<GatewayEffect> {
        let reply = map(reply, |result| StopAnswer { attempt: a, result, boot_id: "b1".into(), ended: None, clock_ms: None });
        self.step(GatewayInput::StopAnswered { attempt: a, worker: W.into(), reply })
    }

    pub fn held(&mut self, reply: Reply<HoldAnswer>) -> Vec<GatewayEffect> {
        self.step(GatewayInput::HoldAnswered { worker: W.into(), address: AT.into(), reply })
    }

    /// Facts told after enough time for a report.
    pub fn facts(&mut self) -> Vec<WorkerFacts> {
        facts(&self.tick(60))
    }
}

fn map<T, U>(r: Reply<T>, f: impl FnOnce(T) -> U) -> Reply<U> {
    match r {
        Reply::Answer(a) => Reply::Answer(f(a)),
        Reply::NotSent => Reply::NotSent,
        Reply::Unknown => Reply::Unknown,
        Reply::OtherLife => Reply::OtherLife,
    }
}

/// Time passes, with an elected scheduler at hand.
pub fn pass(stand: &mut Stand, ms: Millis) -> Vec<GatewayEffect> {
    let mut all = Vec::new();
    for _ in 0..ms / 25 {
        let fx = stand.tick(25);
        if sent(&fx).iter().any(|f| matches!(f, GatewayFrame::Pulse { .. })) {
            all.extend(stand.echo(&fx));
        }
        all.extend(fx);
    }
    all
}

pub fn list(boot: &str, change: u64, running: &[AttemptId], ended: &[AttemptId]) -> Reply<HoldAnswer> {
    let ended: Vec<EndedAttempt> = ended.iter().map(|a| EndedAttempt { ran_ms: 9, ..EndedAttempt::new(*a, Outcome::Succeeded) }).collect();
    let (worker, boot_id) = (W.into(), boot.into());
    Reply::Answer(HoldAnswer {
        worker,
        boot_id,
        change,
        draining: false,
        unchanged: false,
        running: running.to_vec(),
        ended: ended.into(),
        ..HoldAnswer::default()
    })
}

pub fn id(job: JobNumber) -> AttemptId {
    AttemptId { task: TaskId::new(job, 0, 0), number: 1 }
}

pub fn job(n: JobNumber, state: JobState) -> JobSummary {
    JobSummary {
        job: n,
        name: format!("j{n}"),
        queue: if n.is_multiple_of(2) { "even" } else { "odd" }.into(),
        state,
        urgency: 1,
        tasks: TaskCounts::default(),
        failures: 0,
        accepted_at_ms: n,
        ended_at_ms: None,
    }
}

pub fn worker(name: &str, boot: &str, gateway: Option<&str>) -> WorkerSummary {
    WorkerSummary {
        name: name.into(),
        address: AT.into(),
        boot_id: boot.into(),
        service: "s".into(),
        kind: "new".into(),
        rack: "r".into(),
        zone: "z1".into(),
        cpu_millis: 1,
        memory_mb: 1,
        gateway: gateway.map(str::to_owned),
        reachable: true,
        assignment: ASSIGNMENT,
        ..WorkerSummary::default()
    }
}

pub fn sent(fx: &[GatewayEffect]) -> Vec<GatewayFrame> {
    fx.iter().filter_map(|e| if let GatewayEffect::Send { frame, .. } = e { Some(frame.clone()) } else { None }).collect()
}

pub fn facts(fx: &[GatewayEffect]) -> Vec<WorkerFacts> {
    sent(fx).into_iter().flat_map(|f| if let GatewayFrame::Facts { facts, .. } = f { facts } else { Vec::new() }).collect()
}

pub fn starts(fx: &[GatewayEffect]) -> Vec<AttemptId> {
    fx.iter().filter_map(|e| if let GatewayEffect::Start { order, .. } = e { Some(order.attempt) } else { None }).collect()
}

pub fn holds(fx: &[GatewayEffect]) -> Vec<HoldOrder> {
    fx.iter().filter_map(|e| if let GatewayEffect::Hold { order, .. } = e { Some(order.clone()) } else { None }).collect()
}

pub fn stops(fx: &[GatewayEffect]) -> usize {
    fx.iter().filter(|e| matches!(e, GatewayEffect::Stop { .. })).count()
}

pub fn answers(fx: &[GatewayEffect]) -> Vec<(u64, CallResult<AnswerBody>)> {
    fx.iter().filter_map(|e| if let GatewayEffect::Answer { ask, result } = e { Some((*ask, result.clone())) } else { None }).collect()
}

pub fn submit(n: u64, urgency: u8) -> CallBody {
    let mut spec = JobSpec::single(&format!("j{n}"), "q", "s", 1, 1, 1);
    spec.urgency = Some(urgency);
    SubmitJob { spec }.into_body()
}
