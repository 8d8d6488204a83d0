use crate::prelude::*;

/// How far a start order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Known, not sent.
    Held,
    /// Sent, its fate unknown.
    Sent,
    /// Its start is proven.
    Proven,
    /// It never ran and never will by this gateway.
    Dropped,
}

/// What moves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEvent {
    /// It leaves, once.
    Send,
    /// Too late, stopped, or not ours.
    Drop,
    /// It provably did not leave.
    NotSent,
    /// The worker said void.
    Void,
    /// The worker showed that it runs, or ran.
    Proof,
}

/// The chart as data.
static CHART: LazyLock<Chart<OrderState, OrderEvent>> = LazyLock::new(|| match Chart::parse(include_str!("start_order.chart.json")) {
    Ok(c) => c,
    Err(e) => unreachable!("start_order.chart.json: {e}"),
});

impl OrderState {
    /// Where it begins.
    pub fn initial() -> Self {
        CHART.initial()
    }

    /// Where an event leads; there is one way to `Sent` and none back.
    ///
    /// ```
    /// use gateway_core::{OrderEvent, OrderState};
    /// assert_eq!(OrderState::Held.next(OrderEvent::Send), Some(OrderState::Sent));
    /// assert_eq!(OrderState::Sent.next(OrderEvent::Send), None);
    /// ```
    pub fn next(self, event: OrderEvent) -> Option<Self> {
        CHART.next(self, event)
    }
}
