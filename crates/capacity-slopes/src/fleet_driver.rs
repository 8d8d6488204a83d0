use crate::prelude::*;

/// A fleet of cores on one thread in simulated time, with hollow workers and nothing that goes wrong.
pub struct FleetDriver {
    pub(crate) size: FleetSize,
    pub(crate) now: Millis,
    agenda: BTreeMap<(Millis, u64), DriverEvent>,
    events: u64,
    pub(crate) schedulers: Vec<SchedulerSeat>,
    pub(crate) gateways: Vec<GatewaySeat>,
    pub(crate) workers: Vec<(WorkerModel, Millis)>,
    worker_at: BTreeMap<String, usize>,
    /// Gateway and scheduler of each channel.
    channels: BTreeMap<u64, (usize, usize)>,
    next_channel: u64,
    calls: BTreeMap<u64, (usize, usize, Order)>,
    next_call: u64,
    asks: BTreeMap<(usize, u64), Option<usize>>,
    pub(crate) load: bool,
    pub(crate) jobs_sent: u64,
    pub(crate) changes_sent: u64,
    /// Calls answered well, and not.
    pub(crate) answered: (u64, u64),
}

/// Between two ticks of a core, as its executor has it.
const TICK_MS: Millis = 25;
/// One way between two processes.
const WAY_MS: Millis = 1;
/// One sync of a disk.
const SYNC_MS: Millis = 2;
/// The cluster's election timeout.
const ELECTION_TIMEOUT_MS: Millis = 1_000;
/// Wall clock at simulated time 0.
const UNIX_AT_ZERO_MS: Millis = 1_780_000_000_000;
/// Room of a worker.
const WORKER_ROOM: (u64, u64) = (16_000, 64_000);

/// A scheduler's address.
fn scheduler_address(i: usize) -> String {
    format!("10.0.0.{}:7001", i + 1)
}

impl FleetDriver {
    /// A fleet before its start.
    pub fn new(size: FleetSize) -> Result<Self, CapacityError> {
        let addresses: Vec<String> = (0..size.members).map(scheduler_address).collect();
        let mut d = FleetDriver {
            now: 0,
            agenda: BTreeMap::new(),
            events: 0,
            schedulers: Vec::new(),
            gateways: Vec::new(),
            workers: Vec::new(),
            worker_at: BTreeMap::new(),
            channels: BTreeMap::new(),
            next_channel: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            asks: BTreeMap::new(),
            load: false,
            jobs_sent: 0,
            changes_sent: 0,
            answered: (0, 0),
            size,
        };
        for i in 0..d.size.members {
            let mut s = SchedulerSettings::new("capacity", &addresses[i], &format!("z{}", i + 1), ELECTION_TIMEOUT_MS);
            (s.seeds, s.founders) = (addresses.clone(), addresses.clone());
            let id = 1_000_000_007 * (i as u64 + 1);
            let core = Scheduler::new(s, id, RestoredState::joining(), 0, id).context(crate::capacity_error::CoreSnafu)?;
            d.schedulers.push(SchedulerSeat::new(core));
            d.set(i as Millis * 7, DriverEvent::SchedulerTick(i));
        }
        for i in 0..d.size.gateways {
            let s = GatewaySettings { cluster: "capacity".into(), election_timeout_ms: ELECTION_TIMEOUT_MS, ..GatewaySettings::default() };
            let zone = crate::fleet_size::zone_name(i % d.size.zones);
            let core = GatewayCore::new(s, format!("g{i}"), zone, format!("10.0.1.{}:80", i + 1), 77 + i as u64, addresses.clone(), 0);
            d.gateways.push(GatewaySeat::new(core));
            d.set(3 + i as Millis * 3, DriverEvent::GatewayTick(i));
        }
        for i in 0..d.size.workers {
            let address = format!("10.{}.{}.{}:7100", 1 + i / 50_000, i / 250 % 200, i % 250 + 1);
            let told = RegisterWorker {
                name: format!("worker-{i:04}"),
                address: address.clone(),
                boot_id: format!("boot-{i:04}-000001"),
                service: "teams".into(),
                kind: if i % 2 == 0 { "new" } else { "old" }.into(),
                rack: format!("rack-{:02}", i / 8),
                zone: crate::fleet_size::zone_name(i % d.size.zones),
                cpu_millis: WORKER_ROOM.0,
                memory_mb: WORKER_ROOM.1,
                ..RegisterWorker::default()
            };
            d.workers.push((WorkerModel::new(told, Behaviour::default(), i as u64), Millis::MAX));
            d.worker_at.insert(address, i);
            d.set(2_000 + i as Millis * 2, DriverEvent::WorkerTick(i));
        }
        Ok(d)
    }

    /// Sets something for a time.
    pub(crate) fn set(&mut self, at: Millis, e: DriverEvent) {
        self.events += 1;
        self.agenda.insert((at, self.events), e);
    }

    /// Runs up to a time.
    pub fn run_to(&mut self, end: Millis) {
        while let Some(e) = self.agenda.first_entry().filter(|e| e.key().0 <= end) {
            self.now = self.now.max(e.key().0);
            let e = e.remove();
            self.happen(e);
        }
        self.now = self.now.max(end);
    }

    fn happen(&mut self, e: DriverEvent) {
        match e {
            DriverEvent::SchedulerTick(i) => {
                let (wall_ms, read_to) = (UNIX_AT_ZERO_MS + self.now, self.now);
                self.scheduler(i, || Some(SchedulerInput::Tick { wall_ms, read_to }));
                self.set(self.now + TICK_MS, DriverEvent::SchedulerTick(i));
            }
            DriverEvent::GatewayTick(i) => {
                self.gateway(i, || Some(GatewayInput::Tick));
                self.set(self.now + TICK_MS, DriverEvent::GatewayTick(i));
            }
            DriverEvent::WorkerTick(i) => self.worker(i, WorkerInput::Tick),
            DriverEvent::Peer { to, bytes } => {
                self.schedulers[to].usage.received.frame(crate::scheduler_seat::peer_kind(&bytes), bytes.len());
                self.scheduler(to, || Some(SchedulerInput::Peer(bytes)));
            }
            DriverEvent::Dialled { gateway, address } => {
                let Some(scheduler) = (0..self.size.members).find(|i| scheduler_address(*i) == address) else { return };
                self.next_channel += 1;
                let channel = self.next_channel;
                self.channels.insert(channel, (gateway, scheduler));
                self.scheduler(scheduler, || Some(SchedulerInput::GatewayUp(channel)));
                self.gateway(gateway, || Some(GatewayInput::ChannelUp { channel, address }));
            }
            DriverEvent::Up { channel, bytes } => {
                let Some(&(_, s)) = self.channels.get(&channel) else { return };
                self.schedulers[s].usage.received.frame("of gateways", bytes.len());
                let arrived_at = self.now;
                let frame = || Some(Box::new(GatewayFrame::from_bytes(&bytes).ok()?));
                self.scheduler(s, || Some(SchedulerInput::Gateway { channel, arrived_at, frame: frame()? }));
            }
            DriverEvent::Down { channel, bytes } => {
                let Some(&(g, _)) = self.channels.get(&channel) else { return };
                self.gateways[g].usage.received.frame("of the scheduler", bytes.len());
                self.gateway(g, || Some(GatewayInput::Frame { channel, frame: SchedulerFrame::from_bytes(&bytes).ok()? }));
            }
            DriverEvent::Closed { channel, scheduler } => self.scheduler(scheduler, || Some(SchedulerInput::GatewayDown(channel))),
            DriverEvent::Synced { scheduler, ticket } => {
                let n = &mut self.schedulers[scheduler];
                n.usage.syncs += 1;
                n.syncing = false;
                self.scheduler(scheduler, || Some(SchedulerInput::Persisted(ticket)));
                self.sync(scheduler);
            }
            DriverEvent::OrderArrives { call, worker, order } => {
                let input = match order {
                    Order::Start(order) => WorkerInput::Start { token: call, order },
                    Order::Stop(order) => WorkerInput::Stop { token: call, order },
                    Order::Hold(order) => WorkerInput::Hold { token: call, order },
                };
                self.worker(worker, input);
            }
            DriverEvent::OrderOver { call, answer } => self.order_over(call, answer),
            DriverEvent::Ask { gateway, body } => self.ask(gateway, *body, None),
            DriverEvent::Registered { worker, ok } => self.worker(worker, WorkerInput::Registered(ok)),
            DriverEvent::NextJob => self.next_job(),
            DriverEvent::NextChange => self.next_change(),
        }
    }

    /// A call of a caller, an operator or a worker.
    pub(crate) fn ask(&mut self, gateway: usize, body: CallBody, worker: Option<usize>) {
        let n = &mut self.gateways[gateway];
        n.asks += 1;
        let ask = n.asks;
        self.asks.insert((gateway, ask), worker);
        self.gateway(gateway, || Some(GatewayInput::Ask { ask, time_budget_ms: 30_000, body }));
    }

    fn scheduler(&mut self, i: usize, input: impl FnOnce() -> Option<SchedulerInput>) {
        let out = self.schedulers[i].step(self.now, input);
        for (address, bytes) in out.peers {
            if let Some(to) = (0..self.size.members).find(|i| scheduler_address(*i) == address) {
                self.set(self.now + WAY_MS, DriverEvent::Peer { to, bytes });
            }
        }
        for (channel, _, bytes) in out.gateways {
            self.set(self.now + WAY_MS, DriverEvent::Down { channel, bytes });
        }
        if out.wrote {
            self.sync(i);
        }
    }

    /// Starts a sync of all that is staged, if none is under way.
    fn sync(&mut self, scheduler: usize) {
        let n = &mut self.schedulers[scheduler];
        if n.syncing {
            return;
        }
        if let Some(ticket) = n.staged.take() {
            n.syncing = true;
            self.set(self.now + SYNC_MS, DriverEvent::Synced { scheduler, ticket });
        }
    }

    fn gateway(&mut self, i: usize, input: impl FnOnce() -> Option<GatewayInput>) {
        let out = self.gateways[i].step(self.now, input);
        for (channel, _, bytes) in out.frames {
            self.set(self.now + WAY_MS, DriverEvent::Up { channel, bytes });
        }
        for (address, order) in out.orders {
            let Some(&worker) = self.worker_at.get(&address) else { continue };
            self.next_call += 1;
            let call = self.next_call;
            self.calls.insert(call, (i, worker, order.clone()));
            self.set(self.now + WAY_MS, DriverEvent::OrderArrives { call, worker, order });
        }
        for e in out.rest {
            match e {
                GatewayEffect::Dial { address } => self.set(self.now + 2 * WAY_MS, DriverEvent::Dialled { gateway: i, address }),
                GatewayEffect::CloseChannel { channel } => {
                    if let Some((_, scheduler)) = self.channels.remove(&channel) {
                        self.set(self.now + WAY_MS, DriverEvent::Closed { channel, scheduler });
                    }
                }
                GatewayEffect::Answer { ask, result } => {
                    match &result {
                        Ok(_) => self.answered.0 += 1,
                        Err(_) => self.answered.1 += 1,
                    }
                    if let Some(Some(worker)) = self.asks.remove(&(i, ask)) {
                        self.set(self.now + WAY_MS, DriverEvent::Registered { worker, ok: result.is_ok() });
                    }
                }
                _ => {}
            }
        }
    }

    fn worker(&mut self, i: usize, input: WorkerInput) {
        let effects = self.workers[i].0.step(self.now, input);
        for e in effects {
            match e {
                WorkerEffect::Answer { token, answer } => self.set(self.now + WAY_MS, DriverEvent::OrderOver { call: token, answer }),
                WorkerEffect::Register(r) => self.ask(i % self.size.gateways, r.into_body(), Some(i)),
                // Its gangs' members are each by themselves.
                WorkerEffect::MemberCame(_) | WorkerEffect::MemberLeft(_) => {}
                WorkerEffect::Silence { .. } | WorkerEffect::Refuse { .. } | WorkerEffect::OtherLife { .. } | WorkerEffect::Observe(_) => {}
            }
        }
        let now = self.now;
        let (model, tick_at) = &mut self.workers[i];
        if let Some(at) = model.next_wake().map(|at| at.max(now + 1))
            && (*tick_at <= now || at < *tick_at)
        {
            *tick_at = at;
            self.set(at, DriverEvent::WorkerTick(i));
        }
    }

    fn order_over(&mut self, call: u64, answer: WorkerAnswer) {
        let Some((gateway, worker, order)) = self.calls.remove(&call) else { return };
        let told = self.workers[worker].0.identity();
        let (name, address) = (told.name.clone(), told.address.clone());
        let Ok(json) = serde_json::to_vec(&answer) else { return };
        let kind = match order {
            Order::Start(_) => "start",
            Order::Stop(_) => "stop",
            Order::Hold(_) => "hold",
        };
        self.gateways[gateway].usage.answers.http(kind, HttpHeaders::default().answer + json.len());
        // As the executor reads it off the channel.
        self.gateway(gateway, || {
            Some(match order {
                Order::Start(o) => GatewayInput::StartAnswered {
                    attempt: o.attempt,
                    reply: Reply::Answer(serde_json::from_slice::<StartAnswer>(&json).ok()?),
                },
                Order::Stop(o) => {
                    let reply = Reply::Answer(serde_json::from_slice::<StopAnswer>(&json).ok()?);
                    GatewayInput::StopAnswered { attempt: o.attempt, worker: name, reply }
                }
                Order::Hold(_) => {
                    let reply = Reply::Answer(serde_json::from_slice::<HoldAnswer>(&json).ok()?);
                    GatewayInput::HoldAnswered { worker: name, address, reply }
                }
            })
        });
    }
}
