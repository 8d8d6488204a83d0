use crate::prelude::*;

/// What an errand was for.
#[derive(Clone, Debug, PartialEq)]
enum Errand {
    /// Learn the version before the first change, or anew.
    Learn,
    /// A look through one gateway.
    Look,
    /// Which workers there are.
    Workers,
    /// The first tree, or a change. With its tree.
    Put { tree: Value, call: PutConfiguration },
    /// Something acknowledged, once more: its answer is on record, and changes nothing here.
    Again,
    /// An evacuation or its end.
    Evacuate(EvacuateZone),
    /// A drain or its end.
    Drain(DrainWorker),
}

/// What becomes due.
#[derive(Clone, Debug, PartialEq)]
enum Due {
    Learn,
    Change,
    Look,
    Workers,
    EvacuateSome,
    Evacuate(EvacuateZone),
    DrainSome,
    Drain(DrainWorker),
    Again(CallBody),
}

/// Pause before an order that nobody answered is sent once more, as a share of the operator's time budget.
const PAUSE_SHARE: f64 = 0.05;
/// Longest time for one try, as a share of the operator's time budget.
const TRY_SHARE: f64 = 0.1;
/// Pause between looks at the list of workers.
const WORKERS_EVERY_MS: Millis = 30_000;
/// When an acknowledged order is sent again: at once, or long after.
const AGAIN_MS: Span = (1, 15_000);
/// Retries of one order within its time budget.
const RETRIES: u32 = 50;

/// Operators of one deployment: they put whole configurations, race, resend, evacuate and drain. Pure and seeded.
///
/// ```
/// use caller_stand_in::{CallerEffect, CallerInput, Model, OperatorModel, OperatorSettings, Profile};
/// let mut o = OperatorModel::new(OperatorSettings::new(Profile::Harwick, vec!["g1".into()], 7), 0);
/// let effects = o.step(0, CallerInput::Tick);
/// assert!(effects.iter().any(|e| matches!(e, CallerEffect::Send { .. })));
/// ```
#[derive(Clone, Debug)]
pub struct OperatorModel {
    settings: OperatorSettings,
    courier: Courier<Errand>,
    timers: Timers<Due>,
    /// The newest version known, and whether the own tree is it.
    version: Option<u64>,
    tree: OperatorTree,
    /// Whether the deployment's first tree is in force.
    founded: bool,
    changes: u64,
    orders: u64,
    next_look: usize,
    workers: Vec<Name>,
    drained: BTreeSet<Name>,
    evacuated: BTreeSet<Name>,
    quiet: bool,
    rng: ChaCha8Rng,
}

impl OperatorModel {
    /// Operators that begin now.
    pub fn new(settings: OperatorSettings, now: Millis) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut m = OperatorModel {
            courier: Courier::new(settings.gateways.clone(), rng.random()),
            timers: Timers::default(),
            version: None,
            tree: OperatorTree::new(&settings),
            founded: false,
            changes: 0,
            orders: 0,
            next_look: 0,
            workers: Vec::new(),
            drained: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            quiet: false,
            rng,
            settings,
        };
        let s = &m.settings;
        m.timers.set(now, Due::Learn);
        let pauses = [
            (s.read_every_ms, Due::Look),
            (s.evacuate_every_ms, Due::EvacuateSome),
            (s.drain_every_ms, Due::DrainSome),
            (s.drain_every_ms.min(1), Due::Workers),
        ];
        for (pause, due) in pauses {
            if pause > 0 {
                m.timers.set(now + pause, due);
            }
        }
        m
    }

    /// The newest version it knows of.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The tree it last put in force, or is about to.
    pub fn tree(&self) -> &Value {
        self.tree.in_force()
    }

    /// Zones it holds evacuated.
    pub fn evacuated(&self) -> &BTreeSet<Name> {
        &self.evacuated
    }

    /// Workers it holds drained.
    pub fn drained(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// Calls under way.
    pub fn open_calls(&self) -> usize {
        self.courier.errand_count()
    }

    /// Sends a call, first to a gateway by chance.
    fn send(&mut self, now: Millis, what: Errand, call: CallBody, effects: &mut Vec<CallerEffect>) {
        let gateway = self.rng.random_range(0..self.courier.gateway_count());
        let how = self.sending(gateway, RETRIES);
        self.courier.send(now, what, call, how, effects);
    }

    /// How calls are sent.
    fn sending(&self, gateway: usize, retries: u32) -> Sending {
        let time_budget_ms = self.settings.time_budget_ms;
        let longest_try_ms = (time_budget_ms as f64 * TRY_SHARE) as Millis;
        Sending { gateway, time_budget_ms, longest_try_ms, retries }
    }

    /// A pause of about the given length.
    fn about(&mut self, ms: Millis) -> Millis {
        self.rng.random_range(ms / 2..=ms + ms / 2).max(1)
    }

    /// Something is due.
    fn due(&mut self, now: Millis, due: Due, effects: &mut Vec<CallerEffect>) {
        match due {
            Due::Learn => self.send(now, Errand::Learn, GetConfiguration {}.into_body(), effects),
            Due::Change => self.change(now, effects),
            Due::Look => {
                self.timers.set(now + self.settings.read_every_ms, Due::Look);
                let how = self.sending(self.next_look, 0);
                self.next_look = (self.next_look + 1) % self.courier.gateway_count();
                self.courier.send(now, Errand::Look, GetConfiguration {}.into_body(), how, effects);
            }
            Due::Workers => {
                self.timers.set(now + WORKERS_EVERY_MS, Due::Workers);
                self.send(now, Errand::Workers, ListWorkers::default().into_body(), effects);
            }
            Due::EvacuateSome => {
                let pause = self.about(self.settings.evacuate_every_ms);
                self.timers.set(now + pause, Due::EvacuateSome);
                let zones: Vec<Name> = self.settings.regions.values().flatten().cloned().collect();
                // One zone at a time: the others have to carry its work.
                if !self.quiet
                    && self.evacuated.is_empty()
                    && let Some(z) = zones.choose(&mut self.rng).cloned()
                {
                    self.evacuated.insert(z.clone());
                    let order = self.evacuation(z, true);
                    self.send(now, Errand::Evacuate(order.clone()), order.into_body(), effects);
                }
            }
            Due::Evacuate(order) => self.send(now, Errand::Evacuate(order.clone()), order.into_body(), effects),
            Due::DrainSome => {
                let pause = self.about(self.settings.drain_every_ms);
                self.timers.set(now + pause, Due::DrainSome);
                let free: Vec<Name> = self.workers.iter().filter(|w| !self.drained.contains(*w)).cloned().collect();
                if !self.quiet
                    && let Some(w) = free.choose(&mut self.rng).cloned()
                {
                    self.drained.insert(w.clone());
                    self.orders += 1;
                    let order_id = Some(format!("{}-drain-{}", self.settings.tag, self.orders));
                    let order = DrainWorker { name: w, on: true, order_id, ..DrainWorker::default() };
                    self.send(now, Errand::Drain(order.clone()), order.into_body(), effects);
                }
            }
            Due::Drain(order) => self.send(now, Errand::Drain(order.clone()), order.into_body(), effects),
            Due::Again(call) => self.send(now, Errand::Again, call, effects),
        }
    }

    /// An order about a zone, with a fresh id.
    fn evacuation(&mut self, zone: Name, on: bool) -> EvacuateZone {
        self.orders += 1;
        EvacuateZone { zone, on, order_id: format!("{}-order-{}", self.settings.tag, self.orders) }
    }

    /// The next change: the first tree, an invalid one, one change, or two that race.
    fn change(&mut self, now: Millis, effects: &mut Vec<CallerEffect>) {
        let Some(base) = self.version else {
            self.timers.set(now, Due::Learn);
            return;
        };
        if !self.founded {
            let tree = self.tree.in_force().clone();
            return self.put(now, base, tree, effects);
        }
        if self.quiet {
            return;
        }
        if self.rng.random_bool(self.settings.invalid_share) {
            let tree = self.tree.spoilt(&mut self.rng);
            return self.put(now, base, tree, effects);
        }
        let tree = self.tree.next(&mut self.rng);
        self.put(now, base, tree, effects);
        if self.rng.random_bool(self.settings.race_share) {
            let tree = self.tree.changed(&mut self.rng);
            self.put(now, base, tree, effects);
        }
    }

    /// Puts a tree under a fresh id.
    fn put(&mut self, now: Millis, base_version: u64, tree: Value, effects: &mut Vec<CallerEffect>) {
        self.changes += 1;
        let change_id = format!("{}-change-{}", self.settings.tag, self.changes);
        let call = PutConfiguration { base_version, change_id, tree: Payload(tree.clone()), source: None };
        self.send(now, Errand::Put { tree, call: call.clone() }, call.into_body(), effects);
    }

    /// Perhaps sends an acknowledged order once more.
    fn perhaps_again(&mut self, now: Millis, call: CallBody) {
        if self.rng.random_bool(self.settings.resend_share) {
            let at = now + within(&mut self.rng, AGAIN_MS);
            self.timers.set(at, Due::Again(call));
        }
    }

    /// An errand ended.
    fn ended(&mut self, now: Millis, what: Errand, ending: Ending) {
        let soon = now + ((self.settings.time_budget_ms as f64 * PAUSE_SHARE) as Millis).max(1);
        match (what, ending) {
            (Errand::Learn, Ending::Answered(AnswerBody::GetConfiguration(c), _)) => {
                self.knows(c.version);
                // A tree that others put before stands: changes build on it.
                if c.version > 0 && self.changes == 0 && c.tree.0.is_object() {
                    self.tree.replace(c.tree.0);
                    self.founded = true;
                }
                self.next_change(now);
            }
            (Errand::Learn, _) => self.timers.set(soon, Due::Learn),
            (Errand::Workers, Ending::Answered(AnswerBody::ListWorkers(l), _)) => {
                self.workers = l.workers.into_iter().map(|w| w.name).collect()
            }
            (Errand::Put { tree, call }, ending) => self.put_ended(now, soon, tree, call, ending),
            (Errand::Evacuate(order), Ending::Answered(..)) => {
                if order.on {
                    let off = self.evacuation(order.zone.clone(), false);
                    self.timers.set(now + self.settings.evacuate_for_ms, Due::Evacuate(off));
                } else {
                    self.evacuated.remove(&order.zone);
                }
                self.perhaps_again(now, order.into_body());
            }
            // An order about a zone is sent until it is acknowledged: a forgotten one would cost a third of the fleet.
            (Errand::Evacuate(order), _) => self.timers.set(soon, Due::Evacuate(order)),
            (Errand::Drain(order), Ending::Answered(..)) => {
                if order.on {
                    self.timers.set(
                        now + self.settings.drain_for_ms,
                        Due::Drain(DrainWorker { on: false, order_id: order.order_id.map(|o| format!("{o}-end")), ..order }),
                    );
                } else {
                    self.drained.remove(&order.name);
                }
            }
            // The worker is gone: so is its drain.
            (Errand::Drain(order), Ending::Error(_)) => {
                self.drained.remove(&order.name);
            }
            (Errand::Drain(order), Ending::GaveUp) => self.timers.set(soon, Due::Drain(order)),
            (Errand::Look | Errand::Workers | Errand::Again, _) => {}
        }
    }

    /// A change ended.
    fn put_ended(&mut self, now: Millis, soon: Millis, tree: Value, call: PutConfiguration, ending: Ending) {
        match ending {
            Ending::Answered(AnswerBody::PutConfiguration(a), _) => {
                if self.version.is_none_or(|v| a.version > v) {
                    self.tree.replace(tree);
                    self.founded = true;
                }
                self.knows(a.version);
                self.perhaps_again(now, call.into_body());
                self.next_change(now);
            }
            Ending::Error(CallError::RacedBase { current, .. }) => {
                self.knows(current);
                self.next_change(now);
            }
            Ending::Error(_) | Ending::Answered(..) => self.next_change(now),
            // It may be in force: the version tells, and a tree on top of it replaces the whole.
            Ending::GaveUp => self.timers.set(soon, Due::Learn),
        }
    }

    /// A version is known to be reached.
    fn knows(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
    }

    /// Sets when the next change comes; at once while the first tree isn't in force.
    fn next_change(&mut self, now: Millis) {
        self.timers.retain(|d| *d != Due::Change);
        let pause = if self.founded { self.settings.change_every_ms } else { 1 };
        if pause > 0 {
            let pause = self.about(pause);
            self.timers.set(now + pause, Due::Change);
        }
    }
}

impl Model for OperatorModel {
    fn step(&mut self, now: Millis, input: CallerInput) -> Vec<CallerEffect> {
        let mut effects = Vec::new();
        match input {
            CallerInput::Tick | CallerInput::Burst { .. } | CallerInput::CancelSome(_) => {}
            CallerInput::Answered { ticket, result } => {
                if let Some((what, ending)) = self.courier.answered(now, ticket, result, &mut effects) {
                    self.ended(now, what, ending);
                }
            }
            CallerInput::Lost { ticket } => {
                if let Some((what, ending)) = self.courier.lost(now, ticket, &mut effects) {
                    self.ended(now, what, ending);
                }
            }
            CallerInput::Rate(rate) => {
                // At rate 0 nothing new begins; what was begun is brought to its end.
                let woke = self.quiet && rate > 0.0;
                self.quiet = rate <= 0.0;
                if woke {
                    self.next_change(now);
                }
            }
            CallerInput::ReadAgain => {
                for gateway in 0..self.courier.gateway_count() {
                    let how = self.sending(gateway, 0);
                    self.courier.send(now, Errand::Look, GetConfiguration {}.into_body(), how, &mut effects);
                }
            }
        }
        for (what, ending) in self.courier.tick(now, &mut effects) {
            self.ended(now, what, ending);
        }
        while let Some((_, due)) = self.timers.take_due(now) {
            self.due(now, due, &mut effects);
        }
        effects
    }

    fn next_due(&self) -> Option<Millis> {
        [self.timers.next_due(), self.courier.next_due()].into_iter().flatten().min()
    }
}
