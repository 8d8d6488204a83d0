use crate::prelude::*;

/// One run of a whole fleet.
pub struct Simulation {
    pub(crate) settings: SimulationSettings,
    pub(crate) now: Millis,
    pub(crate) agenda: Agenda,
    pub(crate) network: Network,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) schedulers: Vec<SchedulerNode>,
    pub(crate) gateways: Vec<GatewayNode>,
    pub(crate) workers: Vec<WorkerNode>,
    pub(crate) channels: BTreeMap<u64, Channel>,
    pub(crate) next_channel: u64,
    pub(crate) calls: BTreeMap<u64, (usize, u64, usize, Order)>,
    pub(crate) next_call: u64,
    callers: CallerModel,
    operators: OperatorModel,
    model_tick_at: Millis,
    pub(crate) oracle: Oracle,
    pub(crate) divergences: Vec<String>,
    /// Digest of the folded state by log index, from whichever scheduler got there first.
    pub(crate) digests: BTreeMap<u64, String>,
    pub(crate) calm: bool,
    /// Attempts that reached each worker, for planted faults.
    pub(crate) reached: BTreeSet<(usize, AttemptId)>,
    /// The gateway and the fence of the last start that reached each life of a worker with a lease.
    pub(crate) last_starts: BTreeMap<Name, (usize, u64)>,
    /// Gangs that end together.
    pub(crate) gangs: GangTable,
    /// What befalls the next gang that ends well.
    pub(crate) gang_to_tear: Option<GangTear>,
    /// Prints faults as they begin.
    pub verbose: bool,
    events: u64,
}

impl Simulation {
    /// A fleet before its start.
    pub fn new(settings: SimulationSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let gateway_names: Vec<Name> = (0..settings.gateways).map(|i| format!("g{i}")).collect();
        let mut cs = CallerSettings { gateways: gateway_names.clone(), seed: rng.random(), ..settings.callers.clone() };
        cs.tag = format!("s{}", cs.seed);
        cs.unix_at_zero_ms = UNIX_AT_ZERO_MS;
        cs.rate = settings.rate;
        let mut os = OperatorSettings { gateways: gateway_names, seed: rng.random(), ..settings.operators.clone() };
        os.tag = format!("o{}", os.seed);
        let queue_urgency = settings.profile.streams(1).into_iter().map(|s| (s.queue.to_owned(), s.urgency)).collect();
        let bounds =
            OracleBounds { outage_ms: settings.outage_ms, unix_at_zero_ms: UNIX_AT_ZERO_MS, queue_urgency, ..OracleBounds::default() };
        let mut s = Simulation {
            now: 0,
            agenda: Agenda::default(),
            network: Network::new(rng.random()),
            schedulers: Vec::new(),
            gateways: Vec::new(),
            workers: Vec::new(),
            channels: BTreeMap::new(),
            next_channel: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            callers: CallerModel::new(cs, settings.load_from_ms),
            operators: OperatorModel::new(os, 0),
            model_tick_at: Millis::MAX,
            oracle: Oracle::new(bounds),
            divergences: Vec::new(),
            digests: BTreeMap::new(),
            calm: false,
            reached: BTreeSet::new(),
            last_starts: BTreeMap::new(),
            gangs: GangTable::default(),
            gang_to_tear: None,
            verbose: false,
            events: 0,
            rng,
            settings,
        };
        for i in 0..s.settings.schedulers {
            s.schedulers.push(SchedulerNode::default());
            s.agenda.set(i as Millis * 7, Occurrence::SchedulerUp { scheduler: i, fresh_disk: true });
        }
        for i in 0..s.settings.gateways {
            s.gateways.push(GatewayNode::default());
            s.agenda.set(50 + i as Millis * 7, Occurrence::GatewayUp(i));
        }
        for i in 0..s.settings.workers {
            let seed = s.rng.random();
            s.workers.push(WorkerNode::new(&s.settings, i, seed));
            s.agenda.set(100 + i as Millis * 3, Occurrence::WorkerTick(i));
        }
        for (at, f) in s.settings.faults.clone() {
            s.agenda.set(at, Occurrence::Fault(f));
        }
        s.agenda.set(s.settings.load_ms, Occurrence::Calm);
        s.agenda.set(s.settings.load_ms + s.settings.settle_ms, Occurrence::FinalReads);
        s.arm_models();
        s
    }

    /// Runs to the end.
    ///
    /// ```
    /// use fleet_simulator::{Simulation, SimulationSettings};
    /// let mut s = SimulationSettings::new(1);
    /// (s.load_ms, s.settle_ms) = (8_000, 8_000);
    /// let o = Simulation::new(s).run();
    /// assert!(o.accepted > 0 && o.is_clean(), "{}", o.describe());
    /// ```
    pub fn run(mut self) -> SimulationOutcome {
        let end = self.settings.load_ms + self.settings.settle_ms + FINAL_READS_MS;
        while let Some((at, o)) = self.agenda.take() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            if self.events > self.settings.most_events {
                self.divergences.push(format!("the run did not end: {} events by {at} ms, {} to come", self.events, self.agenda.len()));
                break;
            }
            self.happen(o);
        }
        let attempts_left =
            self.schedulers.iter().filter_map(|s| s.core.as_ref()).map(|c| c.state().tables.attempts.len()).min().unwrap_or(0);
        SimulationOutcome {
            seed: self.settings.seed,
            verdict: self.oracle.finish(end),
            divergences: self.divergences,
            events: self.events,
            accepted: self.callers.figures().accepted,
            attempts_left,
            profile: self.settings.profile,
        }
    }

    fn happen(&mut self, o: Occurrence) {
        match self.busy_scheduler(&o) {
            Some(busy) => self.schedulers[busy].backlog.push(self.now, o),
            None => self.handle(self.now, o),
        }
    }

    /// Handles what arrived at a time.
    pub(crate) fn handle(&mut self, arrived_at: Millis, o: Occurrence) {
        match o {
            Occurrence::StepOver(i, epoch) => self.step_over(i, epoch),
            Occurrence::SchedulerTick(i, epoch) => self.scheduler_tick(i, epoch),
            Occurrence::GatewayTick(i, epoch) => self.gateway_tick(i, epoch),
            Occurrence::ModelTick => {
                if self.now >= self.model_tick_at {
                    self.model_tick_at = Millis::MAX;
                    self.model(true, CallerInput::Tick);
                    self.model(false, CallerInput::Tick);
                }
            }
            Occurrence::WorkerTick(i) => self.worker(i, WorkerInput::Tick),
            Occurrence::GangDue(run) => self.gang_due(run),
            Occurrence::Peer { to, bytes } => self.peer_arrives(to, bytes),
            Occurrence::Dialled { gateway, epoch, address } => self.dialled(gateway, epoch, address),
            Occurrence::Frame { channel, direction } => self.frame_arrives(arrived_at, channel, direction),
            Occurrence::GatewayChannelDown { channel } => self.gateway_channel_down(channel),
            Occurrence::SchedulerChannelDown { channel } => self.scheduler_channel_down(channel),
            Occurrence::Synced { scheduler, epoch, writes } => self.synced(scheduler, epoch, writes),
            Occurrence::Acked { scheduler, epoch, ticket } => self.acked(scheduler, epoch, ticket),
            Occurrence::OrderLeaves { call, gateway, epoch, worker, order, leave_by } => {
                self.order_leaves(call, gateway, epoch, worker, order, leave_by)
            }
            Occurrence::OrderArrives { call, gateway, worker, order } => self.order_arrives(call, gateway, worker, order),
            Occurrence::OrderOver { call, reply } => self.order_over(call, reply),
            Occurrence::Ask { gateway, origin, time_budget_ms, body } => self.ask_arrives(gateway, origin, time_budget_ms, *body),
            Occurrence::AskOver { origin, result } => self.ask_over(origin, *result),
            Occurrence::AskLost { origin } => self.ask_lost(origin),
            Occurrence::Fault(f) => self.fault(f),
            Occurrence::SchedulerUp { scheduler, fresh_disk } => self.scheduler_up(scheduler, fresh_disk),
            Occurrence::GatewayUp(i) => self.gateway_up(i),
            Occurrence::Calm => self.calm_down(),
            Occurrence::FinalReads => {
                self.oracle.observe(self.now, Observation::FinalReads);
                self.model(true, CallerInput::ReadAgain);
                self.model(false, CallerInput::ReadAgain);
            }
        }
    }

    /// Sets the models' next tick.
    fn arm_models(&mut self) {
        let due = [self.callers.next_due(), self.operators.next_due()].into_iter().flatten().min();
        if let Some(at) = due.map(|at| at.max(self.now)).filter(|at| *at < self.model_tick_at) {
            self.model_tick_at = at;
            self.agenda.set(at, Occurrence::ModelTick);
        }
    }

    /// Steps the callers or the operators.
    pub(crate) fn model(&mut self, callers: bool, input: CallerInput) {
        let effects = match callers {
            true => self.callers.step(self.now, input),
            false => self.operators.step(self.now, input),
        };
        for e in effects {
            match e {
                CallerEffect::Observe(o) => self.oracle.observe(self.now, o),
                CallerEffect::GiveUp { .. } => {}
                CallerEffect::Send { ticket, gateway, call, time_budget_ms } => {
                    let origin = Origin::Model { callers, ticket };
                    let to = Node::Gateway(gateway);
                    let delay = self.network.delay();
                    if self.network.cut_until(self.now, Node::Callers, to).is_none() {
                        let o = Occurrence::Ask { gateway, origin, time_budget_ms, body: Box::new(call) };
                        self.agenda.set(self.now + delay, o);
                    }
                }
            }
        }
        self.arm_models();
    }

    /// Everything heals, new load ends.
    fn calm_down(&mut self) {
        self.calm = true;
        self.network.heal();
        (self.network.loss_ratio, self.network.late_ratio, self.network.double_ratio) = (0.0, 0.0, 0.0);
        self.network.late_order_ratio = 0.0;
        self.model(true, CallerInput::Rate(0.0));
        self.model(false, CallerInput::Rate(0.0));
        for i in 0..self.workers.len() {
            self.worker(i, WorkerInput::Behave(Behaviour::default()));
        }
        for s in &mut self.schedulers {
            s.sync_ms = (1, 3);
        }
    }
}

/// How long the last reads take at most.
const FINAL_READS_MS: Millis = 25_000;
