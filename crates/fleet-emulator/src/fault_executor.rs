use crate::prelude::*;

/// Pause between restarts in turn.
const RESTART_PAUSE: Duration = Duration::from_secs(2);

/// How a fault ends.
#[derive(Clone, Debug, PartialEq)]
pub enum Undo {
    /// Start what was killed.
    Start(BTreeSet<NodeId>),
    /// Let go on what was stopped.
    Wake(BTreeSet<NodeId>),
    /// End rules of links.
    Rules(Vec<RuleId>),
    /// End drains.
    Drains(Vec<Name>),
    /// End evacuations.
    Evacuations(Vec<Name>),
    /// The callers' rate is as before.
    Rate,
    /// Workers behave as they should.
    Behave(Vec<Name>),
}

/// Carries faults out, and ends them.
pub struct FaultExecutor<S> {
    layout: Arc<Layout>,
    links: Arc<LinkTable>,
    daemons: Arc<Daemons>,
    observer: Arc<Observer>,
    desk: Arc<OrderDesk>,
    stand_ins: Arc<S>,
    rng: ChaCha8Rng,
    orders: u64,
    unreachable: BTreeSet<NodeId>,
    disturbances: Arc<Disturbances>,
}

impl<S: StandIns> FaultExecutor<S> {
    /// An executor; the seed says which workers `workers:N` means.
    pub fn new(
        layout: Arc<Layout>,
        links: Arc<LinkTable>,
        daemons: Arc<Daemons>,
        observer: Arc<Observer>,
        desk: Arc<OrderDesk>,
        stand_ins: Arc<S>,
        seed: u64,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        FaultExecutor {
            layout,
            links,
            daemons,
            observer,
            desk,
            stand_ins,
            rng,
            orders: 0,
            unreachable: BTreeSet::new(),
            disturbances: Arc::default(),
        }
    }

    /// Carries one fault out. Answers whom it hit, in words, and how it ends if it does.
    pub async fn apply(&mut self, e: &FaultEvent) -> FleetResult<(String, Option<Undo>)> {
        let leader = match [&e.whom, &e.others].into_iter().flatten().any(Whom::wants_leader) {
            true => self.observer.leader().await,
            false => None,
        };
        let whom = match &e.whom {
            Some(w) => w.nodes(&self.layout, leader, &mut self.rng)?,
            None => BTreeSet::new(),
        };
        let others = match &e.others {
            Some(w) => w.nodes(&self.layout, leader, &mut self.rng)?,
            None => self.layout.nodes.iter().filter(|n| n.role != Role::Observer).map(|n| n.id).collect(),
        };
        let others: BTreeSet<NodeId> = others.difference(&whom).copied().collect();
        self.disturb(e, &whom);
        let undo = self.carry_out(e, &whom, &others).await?;
        self.note_reach();
        let names: Vec<&str> = whom.iter().map(|&id| self.layout.node(id).name.as_str()).collect();
        let line = if names.is_empty() { e.to_string() } else { format!("{e}: {}", names.join(" ")) };
        Ok((line, undo.filter(|_| e.for_s.is_some() || matches!(e.kind, FaultKind::WipeDisk | FaultKind::KillAllSchedulers))))
    }

    /// Where it notes whom trouble hits.
    pub fn disturbances(&self) -> &Arc<Disturbances> {
        &self.disturbances
    }

    /// Notes whom trouble hits, and until when.
    fn disturb(&self, e: &FaultEvent, whom: &BTreeSet<NodeId>) {
        match e.kind {
            FaultKind::Heal => self.disturbances.note(self.layout.nodes.iter().map(|n| n.id), 0.0),
            _ if !e.kind.is_planned() => self.disturbances.note(whom.iter().copied(), e.for_s.unwrap_or(0.0)),
            _ => {}
        }
    }

    async fn carry_out(&mut self, e: &FaultEvent, whom: &BTreeSet<NodeId>, others: &BTreeSet<NodeId>) -> FleetResult<Option<Undo>> {
        let (daemons, workers) = self.split(whom);
        Ok(match &e.kind {
            FaultKind::Kill => {
                for &id in &daemons {
                    self.daemons.kill(id).await?;
                }
                self.stand_ins.cold(&workers, e.for_s.unwrap_or(0.0)).await?;
                Some(Undo::Start(daemons))
            }
            FaultKind::KillAllSchedulers => {
                let all: BTreeSet<NodeId> = self.layout.of_role(Role::Scheduler).map(|n| n.id).collect();
                for &id in &all {
                    self.daemons.kill(id).await?;
                }
                Some(Undo::Start(all))
            }
            FaultKind::WipeDisk => {
                for &id in &daemons {
                    self.daemons.wipe(id).await?;
                }
                Some(Undo::Start(daemons))
            }
            FaultKind::Freeze => {
                for &id in &daemons {
                    self.daemons.freeze(id).await?;
                }
                // Workers share a process, so that each stands still by its own doing.
                let until = true_now() + e.for_s.map_or(Millis::MAX / 2, |s| (s * 1000.0) as Millis);
                self.stand_ins.behave(&workers, &json!({"frozen_until": until})).await?;
                Some(Undo::Wake(whom.clone()))
            }
            FaultKind::Wake => {
                for &id in &daemons {
                    self.daemons.wake(id).await?;
                }
                self.stand_ins.behave(&workers, &json!({})).await?;
                None
            }
            FaultKind::Hup => {
                for &id in &daemons {
                    self.daemons.hup(id).await?;
                }
                None
            }
            FaultKind::Start => {
                for &id in &daemons {
                    self.daemons.start(id).await?;
                }
                None
            }
            FaultKind::Restart => {
                let all = self.daemons.clone();
                tokio::spawn(async move {
                    for id in daemons {
                        // One that can't be started again shows as ended by itself.
                        let _ = all.restart(id).await;
                        tokio::time::sleep(RESTART_PAUSE).await;
                    }
                });
                None
            }
            FaultKind::Cut => Some(Undo::Rules(self.cut(whom, others))),
            FaultKind::CutOneWay { inwards } => {
                let (from, to) = if *inwards { (others, whom) } else { (whom, others) };
                Some(Undo::Rules(vec![self.links.add_rule(from.clone(), to.clone(), LinkEffect::CUT)]))
            }
            FaultKind::SlowLink { delay_ms, bytes_per_s } => {
                let slow = LinkEffect { cut: false, delay_ms: *delay_ms, bytes_per_s: *bytes_per_s };
                let rule = |a: &BTreeSet<NodeId>, b: &BTreeSet<NodeId>| self.links.add_rule(a.clone(), b.clone(), slow);
                Some(Undo::Rules(vec![rule(whom, others), rule(others, whom)]))
            }
            FaultKind::ResetLinks => {
                self.links.reset(whom, others);
                None
            }
            FaultKind::Heal => {
                self.links.remove_rules();
                None
            }
            FaultKind::ColdWorker => {
                self.stand_ins.cold(&workers, e.for_s.unwrap_or(0.0)).await?;
                None
            }
            FaultKind::DrainWorker => {
                self.stand_ins.drain(&workers, true)?;
                Some(Undo::Drains(workers))
            }
            FaultKind::Behaviour { behaviour } => {
                self.stand_ins.behave(&workers, behaviour).await?;
                Some(Undo::Behave(workers))
            }
            FaultKind::Evacuate => {
                let zones = e.whom.as_ref().map(Whom::zones).unwrap_or_default();
                self.evacuate(&zones, true);
                Some(Undo::Evacuations(zones))
            }
            FaultKind::Rate { factor } => {
                self.stand_ins.rate(*factor).await?;
                Some(Undo::Rate)
            }
            FaultKind::ConfigRace { rounds } => {
                let (desk, rounds, seed) = (self.desk.clone(), *rounds, self.rng.random());
                tokio::spawn(async move { config_race(&desk, rounds, seed).await });
                None
            }
        })
    }

    /// Ends a fault. Answers what it did, in words.
    pub async fn undo(&mut self, u: &Undo) -> FleetResult<String> {
        let names = |ids: &BTreeSet<NodeId>| ids.iter().map(|&id| self.layout.node(id).name.clone()).collect::<Vec<_>>().join(" ");
        let line = match u {
            Undo::Start(ids) => format!("started: {}", names(ids)),
            Undo::Wake(ids) => format!("woken: {}", names(ids)),
            Undo::Rules(_) => "links whole again".to_owned(),
            Undo::Drains(w) => format!("drain ends: {}", w.join(" ")),
            Undo::Evacuations(z) => format!("evacuation ends: {}", z.join(" ")),
            Undo::Rate => "rate as before".to_owned(),
            Undo::Behave(w) => format!("well again: {}", w.join(" ")),
        };
        match u {
            Undo::Start(ids) => {
                for &id in ids {
                    self.daemons.start(id).await?;
                }
            }
            Undo::Wake(ids) => {
                // Workers wake by themselves.
                for id in self.split(ids).0 {
                    self.daemons.wake(id).await?;
                }
            }
            Undo::Rules(rules) => rules.iter().for_each(|&r| self.links.remove_rule(r)),
            Undo::Drains(w) => self.stand_ins.drain(w, false)?,
            Undo::Evacuations(z) => self.evacuate(z, false),
            Undo::Rate => self.stand_ins.rate(1.0).await?,
            Undo::Behave(w) => self.stand_ins.behave(w, &json!({})).await?,
        }
        self.note_reach();
        Ok(line)
    }

    /// Daemons and workers apart.
    fn split(&self, whom: &BTreeSet<NodeId>) -> (BTreeSet<NodeId>, Vec<Name>) {
        let daemons = whom.iter().copied().filter(|&id| self.layout.node(id).is_daemon()).collect();
        let workers = whom.iter().map(|&id| self.layout.node(id)).filter(|n| n.role == Role::Worker).map(|n| n.name.clone()).collect();
        (daemons, workers)
    }

    /// Cuts both ways.
    fn cut(&self, a: &BTreeSet<NodeId>, b: &BTreeSet<NodeId>) -> Vec<RuleId> {
        let rule = |a: &BTreeSet<NodeId>, b: &BTreeSet<NodeId>| self.links.add_rule(a.clone(), b.clone(), LinkEffect::CUT);
        vec![rule(a, b), rule(b, a)]
    }

    /// Sends orders about zones, each until it is answered.
    fn evacuate(&mut self, zones: &[Name], on: bool) {
        for zone in zones.iter().cloned() {
            self.orders += 1;
            self.order(EvacuateZone { zone, on, order_id: format!("fleet-order-{}", self.orders) }.into_body());
        }
    }

    /// Sends an order until it is answered.
    fn order(&self, call: CallBody) {
        let desk = self.desk.clone();
        tokio::spawn(async move {
            for _ in 0..ORDER_TRIES {
                match desk.send(call.clone()).await {
                    Some(Err(e)) if e.retry_after_ms().is_some() => {}
                    Some(_) => return,
                    None => {}
                }
            }
        });
    }

    /// Puts on record which workers went out of reach, or came back.
    fn note_reach(&mut self) {
        let reached = reachable_workers(&self.layout, &self.links, |n| self.daemons.runs(n.id));
        for w in self.layout.of_role(Role::Worker) {
            let (was, is) = (self.unreachable.contains(&w.id), !reached.contains(&w.id));
            if was != is {
                self.desk.note(Observation::WorkerUnreachable { worker: w.name.clone(), on: is });
            }
        }
        self.unreachable = self.layout.of_role(Role::Worker).map(|w| w.id).filter(|id| !reached.contains(id)).collect();
    }
}

/// How often an order is sent anew once its time is over.
const ORDER_TRIES: u32 = 20;

/// Two operators put unlike trees on one version at once; then each sends the same again.
async fn config_race(desk: &OrderDesk, rounds: u64, seed: u64) {
    for round in 0..rounds {
        let Some(Ok(AnswerBody::GetConfiguration(c))) = desk.send(GetConfiguration {}.into_body()).await else { continue };
        let put = |side: u64| {
            let mut tree = c.tree.0.clone();
            tree["settings"]["urgent_reserve"] = json!(0.01 * (1.0 + side as f64 + 2.0 * (round % 5) as f64));
            let change_id = format!("race-{seed}-{round}-{side}");
            PutConfiguration { base_version: c.version, change_id, tree: Payload(tree), source: None }.into_body()
        };
        let (a, b) = (put(0), put(1));
        tokio::join!(desk.send(a.clone()), desk.send(b.clone()));
        tokio::join!(desk.send(a), desk.send(b));
    }
}
