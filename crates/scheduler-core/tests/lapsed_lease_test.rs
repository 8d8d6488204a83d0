//! A leader whose lease lapses for a moment, as when acknowledgements are late: its gateways stay with it.

use scheduler_core::prelude::*;

const ADDRESSES: [&str; 3] = ["a:1", "b:1", "c:1"];
const CHANNEL: ChannelId = 1;
const STEP_MS: Millis = 5;

/// Three schedulers whose messages arrive at once, unless they are held up, and whose disks are at once.
struct Trio {
    cores: Vec<Scheduler>,
    now: Millis,
    held_up: bool,
    /// Messages that are held up: the receiver, and what it gets.
    late: Vec<(usize, Vec<u8>)>,
    frames: Vec<SchedulerFrame>,
}

impl Trio {
    fn new() -> Self {
        let core = |n: usize| {
            let mut s = SchedulerSettings::new("c", ADDRESSES[n], "z1", 1_000);
            s.founders = ADDRESSES.iter().map(|a| (*a).to_owned()).collect();
            s.seeds = s.founders.clone();
            Scheduler::new(s, 7 + n as u64, RestoredState::joining(), 0, 1 + n as u64).unwrap()
        };
        Trio { cores: (0..3).map(core).collect(), now: 0, held_up: false, late: Vec::new(), frames: Vec::new() }
    }

    fn step(&mut self, core: usize, input: SchedulerInput) {
        let mut todo = VecDeque::from([(core, input)]);
        while let Some((n, input)) = todo.pop_front() {
            for effect in self.cores[n].step(self.now, input) {
                match effect {
                    SchedulerEffect::Persist(r) => todo.push_back((n, SchedulerInput::Persisted(r.ticket))),
                    SchedulerEffect::Gateway(CHANNEL, f) => self.frames.push((*f).clone()),
                    SchedulerEffect::Peer { address, bytes } => {
                        let Some(to) = ADDRESSES.iter().position(|a| *a == address) else { continue };
                        match self.held_up {
                            true => self.late.push((to, bytes)),
                            false => todo.push_back((to, SchedulerInput::Peer(bytes))),
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn pass(&mut self, length: Millis) {
        for _ in 0..length / STEP_MS {
            self.now += STEP_MS;
            for n in 0..self.cores.len() {
                self.step(n, SchedulerInput::Tick { wall_ms: self.now, read_to: self.now });
            }
        }
    }

    fn gateway(&mut self, leader: usize, frame: GatewayFrame) {
        self.step(leader, SchedulerInput::Gateway { channel: CHANNEL, arrived_at: self.now, frame: Box::new(frame) });
    }

    /// The elected one, with a gateway attached.
    fn attached(&mut self) -> usize {
        let serves = |t: &Trio| t.cores.iter().position(|core| core.is_serving(t.now));
        while serves(self).is_none() {
            self.pass(STEP_MS);
            assert!(self.now < 60_000);
        }
        let leader = serves(self).unwrap();
        let attach = GatewayFrame::Attach {
            wire_version: WIRE_VERSION,
            cluster: "c".into(),
            name: "g".into(),
            instance: 1,
            zone: "z1".into(),
            http_address: "g:1".into(),
            view: 0,
            configuration: 0,
        };
        self.gateway(leader, attach);
        self.pass(200);
        leader
    }

    fn ask(&mut self, leader: usize, request: u64) {
        let spec = JobSpec::single("j", "q", "s", 1, 1, 1);
        let body = CallBody::SubmitJob(cluster_messages::SubmitJob { spec });
        self.gateway(leader, GatewayFrame::Ask { request, time_budget_ms: 5_000, body });
    }
}

#[test]
fn a_gateway_stays_with_a_leader_whose_lease_lapses_for_a_moment() {
    let mut t = Trio::new();
    let leader = t.attached();
    t.held_up = true;
    while t.cores[leader].is_serving(t.now) {
        t.pass(STEP_MS);
    }
    assert!(t.cores[leader].replica().is_leader());
    t.frames.clear();
    t.gateway(leader, GatewayFrame::Pulse { stamp: 9, view: 0, configuration: 0 });
    t.ask(leader, 5);
    assert!(t.frames.is_empty(), "without a lease nothing is told: {:?}", t.frames);
    t.held_up = false;
    for (to, bytes) in std::mem::take(&mut t.late) {
        t.step(to, SchedulerInput::Peer(bytes));
    }
    t.pass(100);
    assert!(t.cores[leader].is_serving(t.now));
    t.gateway(leader, GatewayFrame::Pulse { stamp: 10, view: 0, configuration: 0 });
    let frames = &t.frames;
    assert!(!frames.iter().any(|f| matches!(f, SchedulerFrame::NotLeader { .. })), "{frames:?}");
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::Answer { request: 5, result: Ok(_) })), "{frames:?}");
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::PulseEcho { stamp: 10, .. })), "{frames:?}");
}

#[test]
fn a_gateway_is_sent_away_by_a_leader_that_lost_its_quorum() {
    let mut t = Trio::new();
    let leader = t.attached();
    t.held_up = true;
    while t.cores[leader].is_serving(t.now) {
        t.pass(STEP_MS);
    }
    t.frames.clear();
    t.ask(leader, 5);
    t.pass(1_000);
    assert!(!t.cores[leader].replica().is_leader());
    let frames = &t.frames;
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::NotLeader { .. })), "{frames:?}");
    assert!(!frames.iter().any(|f| matches!(f, SchedulerFrame::Answer { .. })), "{frames:?}");
}
