use crate::prelude::*;

/// Between two ticks.
const TICK: Duration = Duration::from_millis(25);
/// Ticks between two looks at counters.
const COUNT_EVERY: u64 = 40;

/// The task that owns the core: inputs go in one by one, effects are carried out elsewhere.
pub struct CoreLoop<P> {
    core: GatewayCore,
    clock: MonotonicClock,
    view: Arc<LiveView>,
    dialer: ChannelDialer,
    workers: WorkerCaller<P>,
    channels: HashMap<ChannelId, ChannelInbox>,
    replies: HashMap<u64, oneshot::Sender<CallResult<AnswerBody>>>,
    asks: u64,
    attached: bool,
    fx: Vec<GatewayEffect>,
}

impl<P: WorkerProtocol> CoreLoop<P> {
    /// A loop around a core.
    pub fn new(core: GatewayCore, clock: MonotonicClock, view: Arc<LiveView>, dialer: ChannelDialer, workers: WorkerCaller<P>) -> Self {
        CoreLoop {
            core,
            clock,
            view,
            dialer,
            workers,
            channels: HashMap::new(),
            replies: HashMap::new(),
            asks: 0,
            attached: false,
            fx: Vec::new(),
        }
    }

    /// Runs until all who could send events are gone. Callers wait behind the cluster's own events.
    pub async fn run(mut self, mut events: mpsc::Receiver<LoopEvent>, mut asks: mpsc::Receiver<AskEvent>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0u64;
        loop {
            tokio::select! {
                biased;
                _ = tick.tick() => {
                    self.step(GatewayInput::Tick);
                    ticks += 1;
                    if ticks.is_multiple_of(COUNT_EVERY) {
                        self.count();
                    }
                }
                e = events.recv() => match e {
                    Some(LoopEvent::Up { channel, address, inbox }) => {
                        self.channels.insert(channel, inbox);
                        self.step(GatewayInput::ChannelUp { channel, address });
                    }
                    Some(LoopEvent::Input(i)) => self.step(*i),
                    None => return,
                },
                a = asks.recv() => match a {
                    Some(a) => self.ask(a),
                    None => return,
                },
            }
        }
    }

    /// Takes a caller's call.
    fn ask(&mut self, a: AskEvent) {
        self.asks += 1;
        self.replies.insert(self.asks, a.reply);
        self.step(GatewayInput::Ask { ask: self.asks, time_budget_ms: a.time_budget_ms, body: a.body });
    }

    /// One step of the core and its effects.
    fn step(&mut self, input: GatewayInput) {
        if let GatewayInput::ChannelDown { channel } = &input {
            self.channels.remove(channel);
        }
        let mut fx = std::mem::take(&mut self.fx);
        self.core.step(self.clock.now(), input, &mut fx);
        for e in fx.drain(..) {
            self.carry_out(e);
        }
        self.fx = fx;
        self.say_state();
    }

    /// Carries out one effect.
    fn carry_out(&mut self, e: GatewayEffect) {
        match e {
            GatewayEffect::Dial { address } => self.dialer.dial(address),
            GatewayEffect::CloseChannel { channel } => {
                if let Some(c) = self.channels.remove(&channel) {
                    c.close();
                }
            }
            GatewayEffect::Send { channel, frame } => {
                // A full inbox drops the channel; its reader says so.
                if let Some(c) = self.channels.get(&channel) {
                    let _ = c.send(frame.to_bytes().into());
                }
            }
            GatewayEffect::Answer { ask, result } => {
                if let Some(r) = self.replies.remove(&ask) {
                    // The caller may be gone.
                    let _ = r.send(result);
                }
            }
            GatewayEffect::Start { address, order, leave_by } => self.workers.start(address, order, leave_by),
            GatewayEffect::Stop { address, order } => self.workers.stop(address, order),
            GatewayEffect::Hold { address, order, give_up_after_ms } => self.workers.hold(address, order, give_up_after_ms),
            GatewayEffect::ViewChanged => self.view.store(self.core.view()),
        }
    }

    /// Logs an attach and its loss.
    fn say_state(&mut self) {
        let now = self.core.session_state() == SessionState::Attached;
        if now != std::mem::replace(&mut self.attached, now) {
            let view = self.core.view();
            tracing::info!(attached = now, leader = view.leader.as_deref().unwrap_or_default(), view = view.number, "session");
        }
    }

    /// Publishes the core's counters.
    fn count(&self) {
        self.core.counters().each(|name, n| counter!(name).absolute(n));
        for (name, n) in self.core.sizes() {
            gauge!(name).set(n as f64);
        }
    }
}
