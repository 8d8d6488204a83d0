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
}
