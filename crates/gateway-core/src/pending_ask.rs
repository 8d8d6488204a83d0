use crate::prelude::*;

/// An ask that waits for its answer.
#[derive(Clone, Debug)]
pub struct PendingAsk {
    /// The executor's number for it.
    pub ask: u64,
    /// The call.
    pub body: CallBody,
    /// When the caller's time is spent.
    pub expires_at: Millis,
    /// Since when it waits for a leader; `None` while it is with one.
    pub waits_since: Option<Millis>,
    /// Whether it ever left, so that it may have been done.
    pub left: bool,
}

impl PendingAsk {
    /// When it is given up.
    pub fn ends_at(&self, patience: Millis) -> Millis {
        self.waits_since.map_or(self.expires_at, |t| self.expires_at.min(t + patience))
    }
}
