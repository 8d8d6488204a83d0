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
    settings: GatewaySettings,
    name: Name,
    zone: Name,
    http_address: String,
    instance: u64,
    now: Millis,
    steps: u64,
    rng: ChaCha8Rng,
    session: Session,
    asks: AskBook,
    share: WorkerShare,
    starts: StartBook,
    stops: StopBook,
    gangs: GangWatch,
    facts: FactBook,
    view: Arc<GatewayView>,
    view_changed: bool,
    whole: Option<WholeView>,
    caught_up: bool,
    tell_again: bool,
    want_configuration: bool,
    counters: GatewayCounters,
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

    /// Sizes for gauges: asks waiting, facts not done, starts remembered, stops open, workers held.
    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        [
            ("gateway_asks_waiting", self.asks.len()),
            ("gateway_facts_open", self.facts.len()),
            ("gateway_starts_known", self.starts.len()),
            ("gateway_stops_open", self.stops.len()),
            ("gateway_workers_held", self.share.len()),
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
    fn attach(&self) -> GatewayFrame {
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
    fn watch(&mut self, fx: &mut Vec<GatewayEffect>) {
        if self.session.watch(self.now, &self.settings, &mut self.rng, fx) {
            self.counters.channels_silent += 1;
            self.leader_lost();
        }
        for p in self.asks.ended(self.now, &self.settings) {
            self.give_up(p, fx);
        }
    }

    /// The final answer of an ask that is given up.
    fn give_up(&mut self, p: PendingAsk, fx: &mut Vec<GatewayEffect>) {
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
    fn tick(&mut self, fx: &mut Vec<GatewayEffect>) {
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
    fn send_holds(&mut self, worker: Option<&str>, fx: &mut Vec<GatewayEffect>) {
        if self.facts.len() >= self.settings.fact_bound() {
            return;
        }
        let may_lease = self.session.silence(self.now).is_some_and(|s| s < self.settings.grant_silence());
        let permit = HoldPermit {
            now: self.now,
            step: self.steps,
            settings: &self.settings,
            gateway: &self.name,
            term: self.session.term(),
            may_lease,
        };
        self.counters.holds_sent += match worker {
            Some(w) => self.share.hold(w, &permit, fx),
            None => self.share.holds(&permit, fx),
        };
    }

    /// Tells of workers that are silent and whose lease is over: what ran there is lost.
    fn watch_leases(&mut self) {
        if self.settings.lease_most_ms == 0 {
            return;
        }
        let silent: Vec<Name> = self.share.all_mine().filter(|(_, h)| h.leased).map(|(n, _)| n.clone()).collect();
        for worker in silent {
            if self.share.mine_mut(&worker).is_some_and(|h| h.take_lapse(self.now)) {
                self.counters.leases_lapsed += 1;
                self.lose_attempts(&worker, false);
            }
        }
    }

    /// Tells that nothing of a worker's attempts runs any more: its lease has lapsed, or its life is over.
    fn lose_attempts(&mut self, worker: &str, gone: bool) {
        let Some(h) = self.share.get_mut(worker) else { return };
        let boot = h.boot().to_owned();
        let (mut lost, checkpoints) = h.take_proven();
        lost.extend(self.starts.sent_to(worker));
        lost.extend(self.stops.open_at(worker));
        for a in &lost {
            self.starts.proof(*a, OrderEvent::Void);
            self.stops.answered(*a);
            self.gangs.gone(*a);
        }
        let line = self.facts.line(worker, &boot);
        line.lost.extend(lost);
        line.checkpoints.extend(checkpoints.into_iter().map(|c| (c.attempt, c.checkpoint)));
        line.lapsed |= !gone;
        line.gone |= gone;
    }

    /// Another life of a worker answered in its place.
    fn other_life(&mut self, worker: &str) {
        if self.share.mine(worker).is_some_and(|h| h.leased) {
            self.counters.lives_over += 1;
            self.lose_attempts(worker, true);
        }
    }

    /// Sends a pulse when one is due.
    fn pulse(&mut self, fx: &mut Vec<GatewayEffect>) {
        let Some((channel, stamp)) = self.session.pulse(self.now, &self.settings) else { return };
        let frame = GatewayFrame::Pulse { stamp, view: self.view.number, configuration: self.view.configuration.version };
        fx.push(GatewayEffect::Send { channel, frame });
        if self.want_configuration {
            fx.push(GatewayEffect::Send { channel, frame: GatewayFrame::WantConfiguration });
        }
    }

    /// Stops, then starts: what is to be stopped doesn't leave any more.
    fn send_orders(&mut self, fx: &mut Vec<GatewayEffect>) {
        let share = &self.share;
        self.counters.stops_sent +=
            self.stops.send(self.now, self.steps, self.session.term(), |w| share.mine(w).map(|h| h.address.clone()), fx);
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
    fn tell_facts(&mut self, fx: &mut Vec<GatewayEffect>) {
        let Some(channel) = self.session.attached().filter(|_| self.caught_up) else { return };
        let mut frames = Vec::new();
        if std::mem::take(&mut self.tell_again) {
            frames = self.facts.again(&self.share);
        }
        frames.extend(self.facts.report(self.now, &self.settings, &self.share));
        self.counters.reports_sent += frames.len() as u64;
        fx.extend(frames.into_iter().map(|frame| GatewayEffect::Send { channel, frame }));
    }

    /// Tells that an attempt never ran and never will.
    fn voided(&mut self, worker: &str, a: AttemptId) {
        // Of a worker that the log has forgotten nothing is wanted.
        if let Some(boot) = self.share.boot(worker) {
            self.facts.line(worker, &boot).voided.insert(a);
        }
    }

    /// No leader any more.
    fn leader_lost(&mut self) {
        self.whole = None;
        self.caught_up = false;
        self.asks.leader_lost(self.now, &self.settings);
        if self.view.leader.is_some() {
            self.change_view().leader = None;
        }
    }

    /// The view, to be changed.
    fn change_view(&mut self) -> &mut GatewayView {
        self.view_changed = true;
        Arc::make_mut(&mut self.view)
    }

    /// Takes an ask.
    fn ask(&mut self, ask: (u64, Millis, CallBody), fx: &mut Vec<GatewayEffect>) {
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
    fn forward(&mut self, channel: ChannelId, n: u64, fx: &mut Vec<GatewayEffect>) {
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

    /// A frame of the session's own channel.
    fn frame(&mut self, channel: ChannelId, frame: SchedulerFrame, fx: &mut Vec<GatewayEffect>) {
        let attached = self.session.attached().is_some();
        match frame {
            SchedulerFrame::Attached { term, log_time_ms, schedulers, .. } => self.attached(channel, term, log_time_ms, &schedulers, fx),
            SchedulerFrame::NotLeader { leader, schedulers } => {
                self.session.learn(&schedulers);
                self.session.not_leader(self.now, &self.settings, leader, &mut self.rng, fx);
                self.leader_lost();
                self.session.dial(self.now, fx);
            }
            SchedulerFrame::PulseEcho { stamp, log_time_ms } => {
                if let Some((asked_at, first)) = self.session.echo(self.now, stamp, log_time_ms) {
                    // The first echo may be ahead of the news since the last channel; by the second they have come.
                    self.caught_up |= !first;
                    if self.caught_up && self.view.number > 0 {
                        self.change_view().whole_at = Some(asked_at);
                    }
                }
            }
            SchedulerFrame::Answer { request, result } => {
                if let Some(p) = self.asks.remove(&self.settings, request) {
                    fx.push(GatewayEffect::Answer { ask: p.ask, result });
                }
            }
            SchedulerFrame::Update(u) if attached => self.update(channel, u, fx),
            SchedulerFrame::FactsDone { report } if attached => {
                self.facts_done(report);
                self.send_holds(None, fx);
            }
            SchedulerFrame::Shed(_) if !attached => {
                self.session.lose(self.now, &self.settings, false, &mut self.rng, fx);
            }
            SchedulerFrame::Update(_) | SchedulerFrame::FactsDone { .. } | SchedulerFrame::Shed(_) => {}
        }
    }

    /// The elected scheduler took the attach: all that waits for it leaves.
    fn attached(&mut self, channel: ChannelId, term: u64, log_time_ms: Millis, schedulers: &[String], fx: &mut Vec<GatewayEffect>) {
        if !self.session.attach_taken(self.now, term, log_time_ms) {
            return;
        }
        self.counters.attaches += 1;
        self.session.learn(schedulers);
        let leader = Some(self.session.address().to_owned());
        self.change_view().leader = leader;
        self.pulse(fx);
        self.tell_again = true;
        for n in self.asks.without_leader() {
            self.forward(channel, n, fx);
        }
    }

    /// Folds an update.
    fn update(&mut self, channel: ChannelId, mut u: ViewUpdate, fx: &mut Vec<GatewayEffect>) {
        self.share.fold(self.now, self.steps, &self.settings, &self.name, &u);
        let whole = WholeView::gather(&mut self.whole, &u);
        if let Some(w) = &whole {
            self.share.keep(&w.workers);
            self.stops.keep(|a, _| w.stops.contains(&a));
        }
        if let Some(a) = &u.schedulers {
            self.session.learn(a);
        }
        if let Some(c) = &u.configuration {
            self.configure(channel, c, fx);
        }
        let most = self.settings.settled_bound();
        for j in u.jobs.iter().filter(|j| j.state.is_final()) {
            self.starts.settle_job(j.job, most);
        }
        for c in u.job_changes.iter().filter(|c| c.state.is_final()) {
            self.starts.settle_job(c.job, most);
        }
        for &j in &u.jobs_forgotten {
            self.starts.settle_job(j, most);
        }
        self.caught_up |= u.upto > 0;
        self.fold_orders(&mut u);
        self.change_view().fold(&mut u);
        self.send_holds(None, fx);
    }

    /// Takes a stop over: what has not left never leaves, what has is stopped at its worker.
    fn stop(&mut self, o: StopOrder) {
        self.gangs.gone(o.attempt);
        if self.starts.forbid(&o) {
            self.voided(&o.worker, o.attempt);
        } else if self.share.mine(&o.worker).is_some() {
            self.stops.give(self.now, o);
        }
    }

    /// Takes over stops, then starts.
    fn fold_orders(&mut self, u: &mut ViewUpdate) {
        let share = &self.share;
        self.stops.keep(|_, w| share.mine(w).is_some());
        for o in std::mem::take(&mut u.stops) {
            self.stop(o);
        }
        for step in std::mem::take(&mut u.gangs_settled) {
            self.gangs.settled(step);
        }
        for o in std::mem::take(&mut u.starts) {
            let (worker, a) = (o.worker.clone(), o.attempt);
            if let Some(by) = o.gang_by_ms {
                let due = self.session.bound().and_then(|b| b.leave_by(by, self.settings.gang_grace()));
                self.gangs.note(a, &worker, due.unwrap_or(self.now));
            }
            if self.starts.give(o) {
                self.voided(&worker, a);
            }
        }
    }

    /// Takes a configuration over, or asks for it whole.
    fn configure(&mut self, channel: ChannelId, c: &ConfigurationUpdate, fx: &mut Vec<GatewayEffect>) {
        match self.view.configuration.updated(c) {
            Ok(new) => {
                self.want_configuration = false;
                let v = self.change_view();
                v.ingress = Arc::new(IngressTable::of(&new.tree));
                v.configuration = new;
                v.configuration_sure = true;
            }
            Err(_) => {
                self.counters.configurations_unfit += 1;
                self.want_configuration = true;
                self.change_view().configuration_sure = false;
                fx.push(GatewayEffect::Send { channel, frame: GatewayFrame::WantConfiguration });
            }
        }
    }

    /// Facts are in the log.
    fn facts_done(&mut self, report: u64) {
        let most = self.settings.settled_bound();
        for f in self.facts.done(report) {
            let ended = f.ended.iter().map(|e| e.attempt);
            f.ended.iter().for_each(|e| self.gangs.gone(e.attempt));
            for a in f.started.into_iter().chain(f.voided).chain(f.missing).chain(f.lost).chain(ended) {
                self.starts.settle(a, most);
            }
            if let Some(h) = self.share.get_mut(&f.worker) {
                f.ended.iter().for_each(|e| h.acknowledge(e.attempt));
            }
        }
    }

    /// A start or a stop is over: an answer shows that the worker is there, silence counts against it, and an order that never
    /// left says nothing.
    fn order_over<A>(&mut self, worker: &str, reply: &Reply<A>) {
        let Some(h) = self.share.get_mut(worker) else { return };
        match reply {
            Reply::Answer(_) | Reply::OtherLife => h.order_answered(),
            Reply::Unknown if h.order_error() => {
                let boot = h.boot().to_owned();
                self.facts.line(worker, &boot).reachable = Some(false);
            }
            Reply::Unknown | Reply::NotSent => {}
        }
    }

    /// What came of a start.
    fn start_answered(&mut self, a: AttemptId, reply: Reply<StartAnswer>) {
        let (event, boot) = match &reply {
            Reply::Answer(r) if r.attempt == a && r.result == StartResult::Started => (Some(OrderEvent::Proof), Some(r.boot_id.as_str())),
            Reply::Answer(r) if r.attempt == a => (Some(OrderEvent::Void), Some(r.boot_id.as_str())),
            Reply::NotSent => (Some(OrderEvent::NotSent), None),
            Reply::OtherLife => (Some(OrderEvent::Void), None),
            Reply::Answer(_) | Reply::Unknown => {
                self.counters.starts_unknown += 1;
                (None, None)
            }
        };
        if let Some(worker) = self.starts.worker(a) {
            self.order_over(&worker, &reply);
            if let Reply::Answer(r) = &reply {
                self.clock_shown(&worker, r.clock_ms);
            }
            if matches!(reply, Reply::OtherLife) {
                self.other_life(&worker);
            }
        }
        let Some(worker) = self.starts.answered(a, event) else { return };
        let Some(known) = self.share.boot(&worker) else { return };
        if boot.is_some_and(|b| b != known) {
            // Another boot than the newest known: a hold's list or a stop proves it, once it is clear which came first.
            return;
        }
        let line = self.facts.line(&worker, &known);
        if event != Some(OrderEvent::Proof) {
            line.voided.insert(a);
            return;
        }
        line.started.insert(a);
        if let Some(h) = self.share.get_mut(&worker) {
            h.started(self.steps, &known, a);
        }
    }

    /// What came of a stop.
    fn stop_answered(&mut self, a: AttemptId, worker: &str, reply: Reply<StopAnswer>) {
        if let (Reply::Answer(r), Some(sent)) = (&reply, self.stops.sent_step(a))
            && let Some(h) = self.share.get_mut(worker)
        {
            h.answered_as(self.steps, sent, &r.boot_id);
        }
        let known = self.share.boot(worker);
        self.order_over(worker, &reply);
        if matches!(reply, Reply::OtherLife) {
            return self.other_life(worker);
        }
        if let Reply::Answer(r) = &reply {
            self.clock_shown(worker, r.clock_ms);
        }
        let Some(r) = reply.answer().filter(|r| r.attempt == a && known.as_ref() == Some(&r.boot_id)) else {
            self.stops.again(self.now, &self.settings, a, &mut self.rng);
            return;
        };
        if r.result == StopResult::Accepted {
            self.starts.forbid(&StopOrder { attempt: a, worker: worker.to_owned(), term: 0 });
            self.stops.accepted(self.now, self.steps, &self.settings, a, &mut self.rng);
            if let Some(h) = self.share.get_mut(worker) {
                h.look_soon();
            }
            return;
        }
        self.stops.answered(a);
        // Whatever the worker said, this attempt doesn't leave from here any more.
        self.starts.forbid(&StopOrder { attempt: a, worker: worker.to_owned(), term: 0 });
        let line = self.facts.line(worker, &r.boot_id);
        let event = match r.result {
            StopResult::Void => {
                line.voided.insert(a);
                OrderEvent::Void
            }
            StopResult::Stopped => {
                let e = r.ended.unwrap_or_else(|| EndedAttempt::new(a, Outcome::Stopped));
                line.ended.insert(a, e);
                OrderEvent::Proof
            }
            // Handled above: only a list tells what came of it.
            StopResult::Accepted => return,
            StopResult::Ended => {
                line.ended.extend(r.ended.map(|e| (a, e)));
                OrderEvent::Proof
            }
        };
        self.starts.proof(a, event);
        if let Some(h) = self.share.get_mut(worker) {
            h.over(a);
        }
    }

    /// What came of a hold.
    fn hold_answered(&mut self, worker: &str, address: &str, reply: Reply<HoldAnswer>, fx: &mut Vec<GatewayEffect>) {
        if matches!(reply, Reply::OtherLife) {
            return self.other_life(worker);
        }
        let Some(h) = self.share.get_mut(worker) else { return };
        let answer = reply.answer().filter(|a| a.worker == worker && h.address == address);
        let Some(a) = answer else {
            self.counters.hold_errors += 1;
            let lost = h.error(self.now, &self.settings, &mut self.rng);
            let silent = h.take_silence();
            if lost || silent {
                let boot = h.boot().to_owned();
                let line = self.facts.line(worker, &boot);
                line.silent |= silent;
                if lost {
                    line.reachable = Some(false);
                }
            }
            return;
        };
        let mut line = FactLine::default();
        let (left_in, leased) = (h.hold_step(), h.leased);
        if let Some(clock) = a.clock_ms {
            h.lease.showed(self.now, clock);
        }
        if !h.answer(self.steps, &a, &mut line) {
            self.counters.holds_crossed += 1;
        } else if leased {
            self.leased_lists(worker, &a, left_in.unwrap_or(0), &mut line);
        }
        self.counters.attempts_missing += line.missing.len() as u64;
        let ended: Vec<AttemptId> = line.ended.keys().copied().collect();
        for x in line.started.iter().chain(&ended) {
            self.starts.proof(*x, OrderEvent::Proof);
        }
        if !line.is_empty() {
            self.facts.line(worker, &a.boot_id).merge(line);
        }
        self.send_holds(Some(worker), fx);
    }

    /// A worker's clock came along with an answer.
    fn clock_shown(&mut self, worker: &str, clock_ms: Option<Millis>) {
        if let (Some(clock), Some(h)) = (clock_ms, self.share.get_mut(worker)) {
            h.lease.showed(self.now, clock);
        }
    }

    /// What the lists of a worker with a lease prove beyond what they show: starts that can't be carried out any more, stops
    /// that are over, attempts that stand still.
    fn leased_lists(&mut self, worker: &str, a: &HoldAnswer, left_in: u64, line: &mut FactLine) {
        let running: BTreeSet<AttemptId> = a.running.iter().copied().collect();
        let ended: BTreeSet<AttemptId> = a.ended.iter().map(|e| e.attempt).collect();
        let listed = |x: AttemptId| running.contains(&x) || ended.contains(&x);
        let void = self.starts.void_by_clock(worker, a.clock_ms.unwrap_or(0), listed);
        self.counters.starts_late += void.len() as u64;
        line.voided.extend(void);
        let stopped = self.stops.settle_by_list(worker, left_in, |x| running.contains(&x));
        line.voided.extend(stopped.into_iter().filter(|x| !listed(*x)));
        let usual = Expectation { patience: 2 * self.settings.stall_patience(Millis::MAX), estimate_ms: 0 };
        let starts = &self.starts;
        if let Some(h) = self.share.get_mut(worker) {
            let stalled = h.progress(self.now, &a.progress, |x| starts.expected(x).unwrap_or(usual));
            self.counters.attempts_stalled += stalled.len() as u64;
            line.stalled.extend(stalled);
            h.rest(self.now, &self.settings);
        }
    }
}
