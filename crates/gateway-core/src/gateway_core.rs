use crate::prelude::*;

/// A gateway's whole state. It holds nothing that can't be rebuilt from the schedulers and the workers.
///
/// ```
/// use gateway_core::prelude::*;
/// let seeds = vec!["127.0.0.2:7001".to_owned()];
/// let mut g = GatewayCore::new(GatewaySettings::default(), "g1".into(), "z1".into(), "127.0.0.1:7000".into(), 7, seeds, 0);
/// let mut fx = Vec::new();
/// g.step(1, GatewayInput::Tick, &mut fx);
/// assert_eq!(fx, [GatewayEffect::Dial { address: "127.0.0.2:7001".into() }]);
/// ```
#[derive(Clone, Debug)]
pub struct GatewayCore {
    pub(crate) settings: GatewaySettings,
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) http_address: String,
    pub(crate) instance: u64,
    pub(crate) now: Millis,
    pub(crate) steps: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) session: Session,
    pub(crate) asks: AskBook,
    pub(crate) share: WorkerShare,
    pub(crate) starts: StartBook,
    pub(crate) stops: StopBook,
    pub(crate) gangs: GangWatch,
    pub(crate) facts: FactBook,
    pub(crate) view: Arc<GatewayView>,
    pub(crate) view_changed: bool,
    pub(crate) whole: Option<WholeView>,
    pub(crate) caught_up: bool,
    /// The newest local time at which the share was known as the log had it.
    pub(crate) share_sure_at: Option<Millis>,
    pub(crate) tell_again: bool,
    pub(crate) want_configuration: bool,
    pub(crate) counters: GatewayCounters,
}

impl GatewayCore {
    /// A gateway that knows nothing yet; `instance` is new for each start of its process.
    pub fn new(
        settings: GatewaySettings,
        name: Name,
        zone: Name,
        http_address: String,
        instance: u64,
        seeds: Vec<String>,
        now: Millis,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(instance);
        let session = Session::new(seeds, now, &mut rng);
        let view = GatewayView { age_most: settings.view_age_most(), configuration_sure: true, ..GatewayView::default() };
        GatewayCore {
            asks: AskBook::new(&settings),
            settings,
            name,
            zone,
            http_address,
            instance,
            now,
            steps: 0,
            rng,
            session,
            share: WorkerShare::default(),
            starts: StartBook::default(),
            stops: StopBook::default(),
            gangs: GangWatch::default(),
            facts: FactBook::default(),
            view: Arc::new(view),
            view_changed: false,
            whole: None,
            caught_up: false,
            share_sure_at: None,
            tell_again: false,
            want_configuration: false,
            counters: GatewayCounters::default(),
        }
    }

    /// The read view.
    pub fn view(&self) -> Arc<GatewayView> {
        self.view.clone()
    }

    /// What it has done.
    pub fn counters(&self) -> GatewayCounters {
        self.counters
    }

    /// Where it stands with the elected scheduler.
    pub fn session_state(&self) -> SessionState {
        self.session.state()
    }

    /// Sizes and ages for gauges: asks waiting, facts not done, starts remembered, stops open, workers held; ages in ms of the
    /// oldest report and of the oldest stop.
    pub fn sizes(&self) -> [(&'static str, usize); 7] {
        let age = |since: Option<Millis>| since.map_or(0, |since| self.now.saturating_sub(since)) as usize;
        [
            ("gateway_asks_waiting", self.asks.len()),
            ("gateway_facts_open", self.facts.len()),
            ("gateway_starts_known", self.starts.len()),
            ("gateway_stops_open", self.stops.len()),
            ("gateway_workers_held", self.share.len()),
            ("gateway_report_age_ms", age(self.facts.oldest())),
            ("gateway_stop_age_ms", age(self.stops.oldest())),
        ]
    }

    /// One step. Whatever time has passed is looked at before the input, so that nothing stale leaves.
    pub fn step(&mut self, now: Millis, input: GatewayInput, fx: &mut Vec<GatewayEffect>) {
        self.now = self.now.max(now);
        self.steps += 1;
        self.watch(fx);
        match input {
            GatewayInput::Tick => self.tick(fx),
            GatewayInput::ChannelUp { channel, address } => {
                if self.session.up(self.now, channel, &address, fx) {
                    fx.push(GatewayEffect::Send { channel, frame: self.attach() });
                }
            }
            GatewayInput::ChannelDown { channel } => {
                if self.session.owns(channel) {
                    self.session.lose(self.now, &self.settings, false, &mut self.rng, fx);
                    self.leader_lost();
                }
            }
            GatewayInput::DialFailed { address } => self.session.dial_failed(self.now, &self.settings, &address, &mut self.rng, fx),
            GatewayInput::Frame { channel, frame } => {
                if self.session.owns(channel) {
                    self.frame(channel, frame, fx);
                }
            }
            GatewayInput::Ask { ask, time_budget_ms, body } => self.ask((ask, time_budget_ms, body), fx),
            GatewayInput::Seeds(seeds) => self.session.seed(seeds),
            GatewayInput::StartAnswered { attempt, reply } => self.start_answered(attempt, reply),
            GatewayInput::StopAnswered { attempt, worker, reply } => self.stop_answered(attempt, &worker, reply),
            GatewayInput::HoldAnswered { worker, address, reply } => self.hold_answered(&worker, &address, reply, fx),
        }
        self.send_orders(fx);
        self.tell_facts(fx);
        if std::mem::take(&mut self.view_changed) {
            fx.push(GatewayEffect::ViewChanged);
        }
    }

    /// The first frame of a channel.
    pub(crate) fn attach(&self) -> GatewayFrame {
        GatewayFrame::Attach {
            wire_version: WIRE_VERSION,
            cluster: self.settings.cluster.clone(),
            name: self.name.clone(),
            instance: self.instance,
            zone: self.zone.clone(),
            http_address: self.http_address.clone(),
            view: self.view.number,
            configuration: self.view.configuration.version,
        }
    }

    /// Drops a silent channel and ends the asks whose time is over.
    pub(crate) fn watch(&mut self, fx: &mut Vec<GatewayEffect>) {
        if self.session.watch(self.now, &self.settings, &mut self.rng, fx) {
            self.counters.channels_silent += 1;
            self.leader_lost();
        }
        for p in self.asks.ended(self.now, &self.settings) {
            self.give_up(p, fx);
        }
    }

    /// The final answer of an ask that is given up.
    pub(crate) fn give_up(&mut self, p: PendingAsk, fx: &mut Vec<GatewayEffect>) {
        let first = self.settings.dial_backoff_most();
        let retry_after_ms = first + backoff(first, first, 0, &mut self.rng);
        // Ended by its caller's time with a leader at hand, or after it left: nothing is known of it.
        let error = if p.left || self.session.attached().is_some() {
            self.counters.asks_spent += 1;
            CallError::TimeBudgetSpent { retry_after_ms }
        } else {
            self.counters.asks_without_leader += 1;
            CallError::NoLeader { retry_after_ms }
        };
        fx.push(GatewayEffect::Answer { ask: p.ask, result: Err(error) });
    }

    /// What waits for its time.
    pub(crate) fn tick(&mut self, fx: &mut Vec<GatewayEffect>) {
        for o in self.gangs.over(self.now) {
            self.counters.gangs_broken += 1;
            self.stop(o);
        }
        self.session.dial(self.now, fx);
        self.pulse(fx);
        self.watch_leases();
        self.send_holds(None, fx);
    }

    /// Sends the holds that are due, of one worker or of all.
    pub(crate) fn send_holds(&mut self, worker: Option<&str>, fx: &mut Vec<GatewayEffect>) {
        if self.facts.len() >= self.settings.fact_bound() {
            return;
        }
        let may_lease = self.share_sure_at.is_some_and(|at| self.now.saturating_sub(at) < self.settings.grant_silence());
        let permit = HoldPermit { now: self.now, step: self.steps, settings: &self.settings, gateway: &self.name, may_lease };
        self.counters.holds_sent += match worker {
            Some(w) => self.share.hold(w, &permit, fx),
            None => self.share.holds(&permit, fx),
        };
    }

    /// Sends a pulse when one is due.
    pub(crate) fn pulse(&mut self, fx: &mut Vec<GatewayEffect>) {
        let Some((channel, stamp)) = self.session.pulse(self.now, &self.settings) else { return };
        let frame = GatewayFrame::Pulse { stamp, view: self.view.number, configuration: self.view.configuration.version };
        fx.push(GatewayEffect::Send { channel, frame });
        if self.want_configuration {
            fx.push(GatewayEffect::Send { channel, frame: GatewayFrame::WantConfiguration });
        }
    }

    /// Stops, then starts: what is to be stopped doesn't leave any more.
    pub(crate) fn send_orders(&mut self, fx: &mut Vec<GatewayEffect>) {
        let share = &self.share;
        self.counters.stops_sent += self.stops.send(self.now, self.steps, |w| share.mine(w).map(|h| (h.address.clone(), h.assignment)), fx);
        let before = fx.len();
        let mut gate = OrderGate { now: self.now, bound: self.session.bound(), share: &mut self.share, settings: &self.settings };
        let dropped = self.starts.send(self.settings.starts_out(), &mut gate, fx);
        self.counters.starts_sent += (fx.len() - before) as u64;
        self.counters.starts_dropped += dropped.len() as u64;
        for (worker, a) in dropped {
            self.voided(&worker, a);
        }
    }

    /// Tells facts once the gateway has caught up with the log: first those that an earlier channel carried, then new ones.
    pub(crate) fn tell_facts(&mut self, fx: &mut Vec<GatewayEffect>) {
        let Some(channel) = self.session.attached().filter(|_| self.caught_up) else { return };
        let mut frames = Vec::new();
        if std::mem::take(&mut self.tell_again) {
            frames = self.facts.again(&self.share);
            self.counters.reports_repeated += frames.len() as u64;
        }
        frames.extend(self.facts.report(self.now, &self.settings, &self.share));
        self.counters.reports_sent += frames.len() as u64;
        fx.extend(frames.into_iter().map(|frame| GatewayEffect::Send { channel, frame }));
    }

    /// Tells that an attempt never ran and never will.
    pub(crate) fn voided(&mut self, worker: &str, a: AttemptId) {
        // Of a worker that the log has forgotten nothing is wanted.
        if let Some(boot) = self.share.boot(worker) {
            self.facts.line(worker, &boot, self.share.assignment(worker)).voided.insert(a);
        }
    }

    /// No leader any more.
    pub(crate) fn leader_lost(&mut self) {
        self.whole = None;
        self.caught_up = false;
        self.asks.leader_lost(self.now, &self.settings);
        if self.view.leader.is_some() {
            self.change_view().leader = None;
        }
    }

    /// The view, to be changed.
    pub(crate) fn change_view(&mut self) -> &mut GatewayView {
        self.view_changed = true;
        Arc::make_mut(&mut self.view)
    }

    /// Takes an ask.
    pub(crate) fn ask(&mut self, ask: (u64, Millis, CallBody), fx: &mut Vec<GatewayEffect>) {
        let id = ask.0;
        self.counters.asks += 1;
        match self.asks.take(self.now, &self.settings, ask, &mut self.rng) {
            Ok(n) => {
                if let Some(channel) = self.session.attached() {
                    self.forward(channel, n, fx);
                }
            }
            Err(e) => {
                self.counters.asks_shed += 1;
                fx.push(GatewayEffect::Answer { ask: id, result: Err(e) });
            }
        }
    }

    /// Asks the leader, or gives up.
    pub(crate) fn forward(&mut self, channel: ChannelId, n: u64, fx: &mut Vec<GatewayEffect>) {
        match self.asks.forward(self.now, &self.settings, n) {
            Some((frame, again)) => {
                self.counters.asks_repeated += u64::from(again);
                fx.push(GatewayEffect::Send { channel, frame });
            }
            None => {
                if let Some(p) = self.asks.remove(&self.settings, n) {
                    self.give_up(p, fx);
                }
            }
        }
    }
}
