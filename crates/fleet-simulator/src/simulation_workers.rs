use crate::prelude::*;

/// A worker.
pub struct WorkerNode {
    /// Who it is.
    pub identity: WorkerIdentity,
    /// Its model.
    pub model: WorkerModel,
    /// Its boots so far.
    pub boots: u64,
    /// When its next tick is set.
    tick_at: Millis,
}

impl WorkerNode {
    /// The i-th worker of a deployment: every other one is old, three to a rack.
    pub fn new(settings: &SimulationSettings, i: usize, seed: u64) -> Self {
        let (profile, leased) = (settings.profile, settings.leased);
        let mut identity = WorkerIdentity::example(&format!("w{i}"));
        identity.address = std::net::SocketAddr::from(([10, 0, 2, i as u8 + 1], 80));
        identity.service = profile.streams(1).first().map(|s| s.service.to_owned()).unwrap_or_default();
        identity.kind = if i.is_multiple_of(2) { "new".into() } else { "old".into() };
        identity.zone = crate::simulation_gateways::zone_of(profile, i);
        identity.rack = format!("r{}", i / 3);
        (identity.cpu_millis, identity.memory_mb) = (8_000, 16_000);
        identity.leased = leased;
        let mut told = identity.registration(&boot(i, 1));
        if leased {
            told.name.clone_from(&told.boot_id);
        }
        let model = WorkerModel::new(told, Behaviour::default(), seed).listing_at_most(settings.most_ends_listed);
        WorkerNode { identity, model, boots: 1, tick_at: 0 }
    }
}

/// A boot id.
fn boot(worker: usize, n: u64) -> String {
    format!("b{worker}-{n}")
}

impl Simulation {
    /// Steps a worker and carries out its effects.
    pub(crate) fn worker(&mut self, i: usize, input: WorkerInput) {
        let effects = self.workers[i].model.step(self.now, input);
        for e in effects {
            match e {
                WorkerEffect::Observe(o) => self.oracle.observe(self.now, o),
                WorkerEffect::Silence { .. } => {}
                WorkerEffect::MemberCame(member) => {
                    if let Some(at) = self.gangs.came(self.now, i, member) {
                        self.agenda.set(at, Occurrence::GangDue(GangRun::of(member.attempt)));
                    }
                }
                WorkerEffect::MemberLeft(attempt) => {
                    let ends = self.gangs.left(attempt);
                    self.members_end(ends);
                }
                WorkerEffect::Answer { token, answer } => self.worker_replies(i, token, WorkerReply::Answer(answer)),
                WorkerEffect::Refuse { token } => self.worker_replies(i, token, WorkerReply::Unknown),
                WorkerEffect::OtherLife { token } => self.worker_replies(i, token, WorkerReply::OtherLife),
                WorkerEffect::Register(r) => self.register(i, r),
            }
        }
        if let Some(at) = self.workers[i].model.next_wake() {
            let at = at.max(self.now + 1);
            let w = &mut self.workers[i];
            if w.tick_at <= self.now || at < w.tick_at {
                w.tick_at = at;
                self.agenda.set(at, Occurrence::WorkerTick(i));
            }
        }
    }

    /// A worker's reply to an order sets out for the gateway that sent it.
    fn worker_replies(&mut self, i: usize, call: Token, reply: WorkerReply) {
        let Some((gateway, ..)) = self.calls.get(&call) else { return };
        let way = (Node::Worker(i), Node::Gateway(*gateway));
        let delay = self.network.delay();
        if self.network.cut_until(self.now, way.0, way.1).is_none() {
            self.agenda.set(self.now + delay, Occurrence::OrderOver { call, reply });
        }
    }

    fn register(&mut self, i: usize, r: RegisterWorker) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let origin = Origin::Worker(i);
        let delay = self.network.delay();
        let o = match self.network.cut_until(self.now, Node::Worker(i), Node::Gateway(gateway)) {
            None => Occurrence::Ask { gateway, origin, time_budget_ms: 2_000, body: Box::new(r.into_body()) },
            Some(_) => Occurrence::AskLost { origin },
        };
        self.agenda.set(self.now + delay, o);
    }

    /// Two gateways may not use the same fence at one life of a worker: it couldn't refuse what the former one still sends.
    fn check_fence(&mut self, gateway: usize, order: &Order) {
        let Order::Start(s) = order else { return };
        let Some((other, fence)) = self.last_starts.insert(s.worker.clone(), (gateway, s.fence)) else { return };
        if other != gateway && fence == s.fence {
            self.divergences.push(format!("{} ms: gateways {other} and {gateway} both use fence {fence} at {}", self.now, s.worker));
        }
    }

    pub(crate) fn order_arrives(&mut self, token: u64, gateway: usize, i: usize, order: Order) {
        if self.settings.leased {
            self.check_fence(gateway, &order);
        }
        if let (Some(Plant::StopForgotten), Order::Stop(s)) = (self.settings.plant, &order)
            && !self.reached.contains(&(i, s.attempt))
        {
            let boot_id = boot(i, self.workers[i].boots);
            let answer = StopAnswer { attempt: s.attempt, result: StopResult::Void, boot_id, ended: None, clock_ms: None };
            let delay = self.network.delay();
            self.agenda
                .set(self.now + delay, Occurrence::OrderOver { call: token, reply: WorkerReply::Answer(WorkerAnswer::Stop(answer)) });
            return;
        }
        if let Order::Start(s) = &order {
            self.reached.insert((i, s.attempt));
        }
        let input = match order {
            Order::Start(order) => WorkerInput::Start { token, order },
            Order::Stop(order) => WorkerInput::Stop { token, order },
            Order::Hold(order) => WorkerInput::Hold { token, order },
        };
        self.worker(i, input);
    }

    /// A worker's process dies and comes back.
    pub(crate) fn worker_dies(&mut self, i: usize, away_ms: Millis) {
        self.workers[i].boots += 1;
        let boot_id = boot(i, self.workers[i].boots);
        self.worker(i, WorkerInput::Die { boot_id, away_ms });
    }
}
