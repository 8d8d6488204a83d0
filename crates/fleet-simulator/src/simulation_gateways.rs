use crate::prelude::*;

/// A gateway's machine.
#[derive(Default)]
pub struct GatewayNode {
    /// Clocks.
    pub machine: Machine,
    /// The core, while the process runs.
    pub core: Option<GatewayCore>,
    /// Who waits for which ask.
    pub asks: BTreeMap<u64, Origin>,
    next_ask: u64,
}

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The callers' or the operators' model.
    Model {
        /// Callers, or operators.
        callers: bool,
        /// Its own number for the try.
        ticket: u64,
    },
    /// A worker that registers.
    Worker(usize),
}

/// The longest lease that workers take, where they take any.
const LEASE_MOST_MS: Millis = 10_000;
/// How long a start or stop may take before its fate is unknown.
const ORDER_MS: Millis = 1_500;
/// The same, where workers take leases and list what runs by their own clock.
const LEASED_ORDER_MS: Millis = 500;
/// Nobody waits for the answer of an order with this number.
const NO_CALL: u64 = 0;
/// Share of orders over a cut way that arrive once it heals; the others are lost.
const STUCK_RATIO: f64 = 0.5;
/// Share of starts whose executor is held up before it writes them out, with a planted error that shows only then.
const OFTEN_HELD_UP_RATIO: f64 = 0.9;
/// ... by up to this.
const HELD_UP_MS: Millis = 3_000;

impl Simulation {
    /// A gateway's process starts.
    pub(crate) fn gateway_up(&mut self, i: usize) {
        if self.gateways[i].core.is_some() {
            return;
        }
        let settings = GatewaySettings {
            cluster: "sim".into(),
            election_timeout_ms: self.settings.election_timeout_ms,
            gateway_silence_ms: 3 * self.settings.election_timeout_ms,
            hold_interval_ms: self.settings.election_timeout_ms,
            lease_most_ms: if self.settings.leased { LEASE_MOST_MS } else { 0 },
            ..GatewaySettings::default()
        };
        let seeds = (0..self.settings.schedulers).map(crate::simulation_schedulers::scheduler_address).collect();
        let instance = self.rng.random();
        let zone = zone_of(self.settings.profile, i);
        let n = &mut self.gateways[i];
        n.machine.epoch += 1;
        n.machine.booted_at = self.now;
        n.core = Some(GatewayCore::new(settings, format!("g{i}"), zone, format!("10.0.1.{}:80", i + 1), instance, seeds, 0));
        let epoch = n.machine.epoch;
        self.gateway_tick(i, epoch);
    }

    /// A gateway's process dies: whoever waits for it learns that the channel broke.
    pub(crate) fn gateway_down(&mut self, i: usize) {
        let n = &mut self.gateways[i];
        if n.core.take().is_none() {
            return;
        }
        n.machine.epoch += 1;
        n.machine.frozen_until = 0;
        for (_, origin) in std::mem::take(&mut n.asks) {
            let delay = self.network.delay();
            self.agenda.set(self.now + delay, Occurrence::AskLost { origin });
        }
        let broken: Vec<u64> = self.channels.iter().filter(|(_, c)| c.gateway.0 == i && c.open.0).map(|(n, _)| *n).collect();
        for channel in broken {
            self.close_channel(channel, true);
        }
    }

    pub(crate) fn gateway_tick(&mut self, i: usize, epoch: u64) {
        let n = &self.gateways[i];
        if n.machine.epoch != epoch || n.core.is_none() {
            return;
        }
        let next = Self::thaw(&n.machine, self.now);
        if next.is_none() {
            self.gateway(i, GatewayInput::Tick);
        }
        self.agenda.set(next.unwrap_or(self.now + TICK_MS), Occurrence::GatewayTick(i, epoch));
    }

    /// Steps a gateway and carries out its effects.
    pub(crate) fn gateway(&mut self, i: usize, input: GatewayInput) {
        let held_up_ratio =
            if self.settings.plant == Some(Plant::LeaveByIgnored) { OFTEN_HELD_UP_RATIO } else { self.settings.held_up_ratio };
        let n = &mut self.gateways[i];
        let (local, epoch) = (n.machine.now(self.now), n.machine.epoch);
        let Some(core) = n.core.as_mut() else { return };
        let mut effects = Vec::new();
        core.step(local, input, &mut effects);
        for e in effects {
            match e {
                GatewayEffect::Dial { address } => {
                    let delay = 2 * self.network.delay();
                    self.agenda.set(self.now + delay, Occurrence::Dialled { gateway: i, epoch, address });
                }
                GatewayEffect::CloseChannel { channel } => self.close_channel(channel, true),
                GatewayEffect::Send { channel, frame } => self.send_frame(channel, Direction::Up(frame)),
                GatewayEffect::Answer { ask, result } => {
                    if let Some(origin) = self.gateways[i].asks.remove(&ask) {
                        let delay = self.network.delay();
                        let to = if let Origin::Worker(w) = origin { Node::Worker(w) } else { Node::Callers };
                        if self.network.cut_until(self.now, Node::Gateway(i), to).is_none() {
                            self.agenda.set(self.now + delay, Occurrence::AskOver { origin, result: Box::new(result) });
                        }
                    }
                }
                GatewayEffect::Start { address, order, leave_by } => {
                    let held_up = if self.network.chance(held_up_ratio) { self.rng.random_range(0..HELD_UP_MS) } else { 0 };
                    self.order(i, epoch, &address, Order::Start(order), Some(leave_by), held_up);
                }
                GatewayEffect::Stop { address, order } => self.order(i, epoch, &address, Order::Stop(order), None, 0),
                GatewayEffect::Hold { address, order, .. } => self.order(i, epoch, &address, Order::Hold(order), None, 0),
                GatewayEffect::ViewChanged => {}
            }
        }
    }

    fn order(&mut self, gateway: usize, epoch: u64, address: &str, order: Order, leave_by: Option<Millis>, held_up: Millis) {
        let Some(worker) = self.workers.iter().position(|w| w.identity.address.to_string() == *address) else { return };
        self.next_call += 1;
        let call = self.next_call;
        self.agenda.set(self.now + held_up, Occurrence::OrderLeaves { call, gateway, epoch, worker, order, leave_by });
    }

    pub(crate) fn order_leaves(&mut self, call: u64, gateway: usize, epoch: u64, worker: usize, order: Order, leave_by: Option<Millis>) {
        let m = &self.gateways[gateway].machine;
        if m.epoch != epoch {
            return;
        }
        if let Some(at) = Self::thaw(m, self.now) {
            self.agenda.set(at, Occurrence::OrderLeaves { call, gateway, epoch, worker, order, leave_by });
            return;
        }
        self.calls.insert(call, (gateway, epoch, worker, order.clone()));
        let late = leave_by.is_some_and(|l| m.now(self.now) > l) && self.settings.plant != Some(Plant::LeaveByIgnored);
        let away = matches!(self.workers[worker].model.reach(), Reach::Away | Reach::AwayCutOff);
        let delay = self.network.delay();
        if late || away {
            self.agenda.set(self.now + delay, Occurrence::OrderOver { call, reply: WorkerReply::NotSent });
            return;
        }
        let patience = if self.settings.leased { LEASED_ORDER_MS } else { ORDER_MS };
        let wait = match &order {
            Order::Hold(h) => h.wait_ms + 2 * patience,
            _ => patience,
        };
        self.agenda.set(self.now + wait, Occurrence::OrderOver { call, reply: WorkerReply::Unknown });
        if let Some(late) = self.network.order_late_by() {
            // Carried out long after it was given up, and never answered.
            self.agenda.set(self.now + late, Occurrence::OrderArrives { call: NO_CALL, gateway, worker, order });
            return;
        }
        match self.network.cut_until(self.now, Node::Gateway(gateway), Node::Worker(worker)) {
            None => self.agenda.set(self.now + delay, Occurrence::OrderArrives { call, gateway, worker, order }),
            // Whoever gives up on an order breaks its channel, so that what is still stuck in it is lost for good.
            Some(heals)
                if self.network.chance(STUCK_RATIO)
                    && (heals <= self.now + wait || self.settings.plant == Some(Plant::AbandonedArrives)) =>
            {
                self.agenda.set(heals + delay, Occurrence::OrderArrives { call, gateway, worker, order });
            }
            Some(_) => {}
        }
    }

    /// The first word about an order counts; later ones are ignored, as an executor does.
    pub(crate) fn order_over(&mut self, call: u64, reply: WorkerReply) {
        let Some((gateway, epoch, worker, order)) = self.calls.get(&call).cloned() else { return };
        let m = &self.gateways[gateway].machine;
        if m.epoch != epoch {
            self.calls.remove(&call);
            return;
        }
        if let Some(at) = Self::thaw(m, self.now) {
            self.agenda.set(at, Occurrence::OrderOver { call, reply });
            return;
        }
        self.calls.remove(&call);
        if self.settings.plant == Some(Plant::StartRepeated) && matches!((&order, &reply), (Order::Start(_), WorkerReply::Unknown)) {
            let address = self.workers[worker].identity.address.to_string();
            self.order(gateway, epoch, &address, order.clone(), None, 0);
        }
        let address = self.workers[worker].identity.address.to_string();
        let input = match (order, reply) {
            (Order::Start(o), WorkerReply::Answer(WorkerAnswer::Start(a))) => {
                GatewayInput::StartAnswered { attempt: o.attempt, reply: Reply::Answer(a) }
            }
            (Order::Stop(o), WorkerReply::Answer(WorkerAnswer::Stop(a))) => {
                GatewayInput::StopAnswered { attempt: o.attempt, worker: o.worker, reply: Reply::Answer(a) }
            }
            (Order::Hold(o), WorkerReply::Answer(WorkerAnswer::Hold(mut a))) => {
                if self.settings.plant == Some(Plant::CutListTakenAsWhole) {
                    a.ended = a.ended.listed().to_vec().into();
                }
                GatewayInput::HoldAnswered { worker: o.worker, address, reply: Reply::Answer(a) }
            }
            (Order::Start(o), r) => GatewayInput::StartAnswered { attempt: o.attempt, reply: no_answer(&r) },
            (Order::Stop(o), r) => GatewayInput::StopAnswered { attempt: o.attempt, worker: o.worker, reply: no_answer(&r) },
            (Order::Hold(o), r) => GatewayInput::HoldAnswered { worker: o.worker, address, reply: no_answer(&r) },
        };
        self.gateway(gateway, input);
    }

    pub(crate) fn ask_arrives(&mut self, gateway: usize, origin: Origin, time_budget_ms: Millis, body: CallBody) {
        let n = &mut self.gateways[gateway];
        if n.core.is_none() {
            let delay = self.network.delay();
            self.agenda.set(self.now + delay, Occurrence::AskLost { origin });
            return;
        }
        if let Some(at) = Self::thaw(&n.machine, self.now) {
            self.agenda.set(at, Occurrence::Ask { gateway, origin, time_budget_ms, body: Box::new(body) });
            return;
        }
        n.next_ask += 1;
        let ask = n.next_ask;
        n.asks.insert(ask, origin);
        self.gateway(gateway, GatewayInput::Ask { ask, time_budget_ms, body });
    }

    pub(crate) fn ask_over(&mut self, origin: Origin, result: CallResult<AnswerBody>) {
        match origin {
            Origin::Model { callers, ticket } => self.model(callers, CallerInput::Answered { ticket, result }),
            Origin::Worker(w) => self.worker(w, WorkerInput::Registered(result.is_ok())),
        }
    }

    pub(crate) fn ask_lost(&mut self, origin: Origin) {
        match origin {
            Origin::Model { callers, ticket } => self.model(callers, CallerInput::Lost { ticket }),
            Origin::Worker(w) => self.worker(w, WorkerInput::Registered(false)),
        }
    }
}

/// A reply that is no answer.
fn no_answer<T>(r: &WorkerReply) -> Reply<T> {
    match r {
        WorkerReply::NotSent => Reply::NotSent,
        WorkerReply::OtherLife => Reply::OtherLife,
        _ => Reply::Unknown,
    }
}

/// The zone of the i-th machine of a sort.
pub(crate) fn zone_of(profile: Profile, i: usize) -> Name {
    let zones: Vec<Name> = profile.regions().into_values().flatten().collect();
    zones[i % zones.len()].clone()
}
