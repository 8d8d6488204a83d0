use crate::prelude::*;

/// Where a gateway stands with the elected scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// No channel.
    Seeking,
    /// A channel is being opened.
    Dialing,
    /// An attach is out.
    Attaching,
    /// Attached.
    Attached,
}

/// What moves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionEvent {
    /// A dial leaves.
    Dial,
    /// The channel is open.
    Up,
    /// The scheduler took the attach.
    Attached,
    /// The channel is gone, silent, or leads to the wrong scheduler.
    Lost,
}

/// The chart as data.
static CHART: LazyLock<Chart<SessionState, SessionEvent>> = LazyLock::new(|| match Chart::parse(include_str!("session.chart.json")) {
    Ok(c) => c,
    Err(e) => unreachable!("session.chart.json: {e}"),
});

impl SessionState {
    /// Where it begins.
    pub fn initial() -> Self {
        CHART.initial()
    }

    /// Where an event leads.
    ///
    /// ```
    /// use gateway_core::{SessionEvent, SessionState};
    /// assert_eq!(SessionState::initial().next(SessionEvent::Dial), Some(SessionState::Dialing));
    /// assert_eq!(SessionState::Seeking.next(SessionEvent::Attached), None);
    /// ```
    pub fn next(self, event: SessionEvent) -> Option<Self> {
        CHART.next(self, event)
    }
}
