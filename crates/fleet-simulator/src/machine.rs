use crate::prelude::*;

/// A machine's clocks and whether it moves.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    /// True time at which its monotonic clock was 0.
    pub booted_at: Millis,
    /// How far its wall clock is off.
    pub wall_off_ms: i64,
    /// Frozen until then; nothing reaches it before.
    pub frozen_until: Millis,
    /// Counts its process's starts: what was meant for an earlier one is lost.
    pub epoch: u64,
}

impl Machine {
    /// Its monotonic clock.
    pub fn now(&self, truth: Millis) -> Millis {
        truth.saturating_sub(self.booted_at)
    }

    /// Its wall clock.
    pub fn wall(&self, truth: Millis) -> Millis {
        (UNIX_AT_ZERO_MS + truth).saturating_add_signed(self.wall_off_ms)
    }
}
