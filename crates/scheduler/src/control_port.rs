use crate::prelude::*;

/// Calls on their way to the core.
const CALLS: usize = 4_096;

/// A call that came in at this process, on its way to the core.
#[derive(Debug)]
pub struct ControlCallEvent {
    /// When it came in, by this machine's clock.
    pub arrived_at: Millis,
    /// What is left of the caller's time.
    pub time_budget_ms: Millis,
    /// The call.
    pub body: CallBody,
    /// Where the answer goes.
    pub reply: oneshot::Sender<CallResult<AnswerBody>>,
}

/// Where handlers of a scheduler hand calls to its core.
#[derive(Clone, Debug)]
pub struct ControlPort {
    calls: mpsc::Sender<ControlCallEvent>,
    leader: Arc<ArcSwapOption<SocketAddr>>,
    hint_ms: Millis,
    clock: MonotonicClock,
}

impl ControlPort {
    /// A port, the end that the core's task reads, and where that tells who leads.
    pub fn new(hint_ms: Millis, clock: MonotonicClock) -> (Self, mpsc::Receiver<ControlCallEvent>, Arc<ArcSwapOption<SocketAddr>>) {
        let (calls, inbox) = mpsc::channel(CALLS);
        let leader = Arc::new(ArcSwapOption::empty());
        (ControlPort { calls, leader: leader.clone(), hint_ms, clock }, inbox, leader)
    }

    /// Asks, and waits for the one final answer.
    ///
    /// # Errors
    /// What the scheduler refuses the call for; `NoLeader` where it doesn't lead, `TimeBudgetSpent` without an answer in time.
    pub async fn ask<C: ControlCall>(&self, time_budget_ms: Millis, call: C) -> CallResult<C::Answer> {
        let (reply, answer) = oneshot::channel();
        let shed = || CallError::Shed { limit: "scheduler's calls".into(), retry_after_ms: self.hint_ms };
        let event = ControlCallEvent { arrived_at: self.clock.now(), time_budget_ms, body: call.into_body(), reply };
        self.calls.try_send(event).map_err(|_| shed())?;
        let spent = CallError::TimeBudgetSpent { retry_after_ms: self.hint_ms };
        let answered = timeout(Duration::from_millis(time_budget_ms), answer).await;
        let Ok(Ok(result)) = answered else { return Err(spent) };
        C::answer_of(result?).ok_or(spent)
    }

    /// The elected scheduler's address, as far as this one knows.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.load().as_deref().copied()
    }
}

/// What a scheduler serves over HTTP.
pub trait ControlSurface: Send + 'static {
    /// Its routes; `port` takes calls, `page` renders the counters.
    fn routes(&self, port: ControlPort, page: MetricsPage) -> Router;
}

/// Firlock's own pages: `GET /metrics` and `GET /healthz`. Calls go to gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnPages;

impl ControlSurface for OwnPages {
    fn routes(&self, _: ControlPort, page: MetricsPage) -> Router {
        let metrics = move |_: VizRequest| {
            let text = page.render();
            async move { Ok::<_, viz::Error>(VizResponse::text(text)) }
        };
        let healthz = |_: VizRequest| async { Ok::<_, viz::Error>(VizResponse::text("ok\n")) };
        Router::new().get("/metrics", metrics).get("/healthz", healthz)
    }
}
