use crate::prelude::*;

/// How far gateways have been told the news, so that a step without any doesn't look at each of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlushProgress {
    /// The last event that was looked at for all gateways.
    pub told_to: u64,
    /// When news that gathers is next due at one of them.
    pub due_at: Millis,
    /// When whole views may leave again.
    pub whole_views_at: Millis,
}

impl FlushProgress {
    /// Whether there is nothing to tell anyone.
    pub fn is_done(&self, now: Millis, last: u64) -> bool {
        self.told_to == last && now < self.due_at
    }

    /// A gateway wants something whatever news there is.
    pub fn start_over(&mut self) {
        self.due_at = 0;
    }
}
