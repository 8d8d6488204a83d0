use crate::prelude::*;

/// What HTTP handlers share.
#[derive(Clone)]
pub struct GatewayPorts {
    /// The node's name.
    pub node: Name,
    /// Where calls go.
    pub asks: AskPort,
    /// The read view.
    pub view: Arc<ArcSwap<GatewayView>>,
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
}

impl GatewayPorts {
    /// Whether new callers are welcome: it isn't ending, has a configuration, and heard of an elected scheduler of late.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        let heard = view.age(self.clock.now()).is_some_and(|age| age < self.ready_silence_ms);
        heard && view.configuration.version > 0 && !self.is_stopping()
    }

    /// Whether the process was told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
