use crate::prelude::*;

/// What HTTP handlers share.
#[derive(Clone)]
pub struct GatewayPorts {
    /// The node's name.
    pub node: Name,
    /// Where calls go.
    pub asks: AskPort,
    /// The read view.
    pub view: Arc<LiveView>,
    /// The clock of the view's age.
    pub clock: MonotonicClock,
    /// Room for request bodies, in KB, over all requests.
    pub body_room: Arc<Semaphore>,
    /// The counters.
    pub page: MetricsPage,
    /// Whether the process was told to end.
    pub stopping: Arc<AtomicBool>,
    /// For how long without word of an elected scheduler this gateway still calls itself ready.
    pub ready_silence_ms: Millis,
    /// How long a read of a job waits for its end.
    pub read_wait: Duration,
    /// How long a request waits while an elected scheduler is looked for.
    pub patience: Duration,
}

impl GatewayPorts {
    /// Whether new callers are welcome: it isn't ending, has a configuration, and heard of an elected scheduler of late.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        let heard = view.age(self.clock.now()).is_some_and(|age| age < self.ready_silence_ms);
        heard && view.configuration.version > 0 && !self.is_stopping()
    }

    /// Answers a read from the view, with the view's age; `None` when a scheduler has to. A read of a job that isn't over waits
    /// a short while for its end: its last task may have ended just now, and the news of it be on its way.
    pub async fn read(&self, body: &CallBody) -> Option<(AnswerBody, Millis)> {
        if let CallBody::GetJob(call) = body
            && !self.read_wait.is_zero()
        {
            self.view.job_over(&call.name, self.read_wait).await;
        }
        self.view.load().answer(self.clock.now(), body)
    }

    /// Whether the process was told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
