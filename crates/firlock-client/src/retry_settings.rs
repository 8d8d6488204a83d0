use crate::prelude::*;

/// How a client tries again. All waits are ratios to the time budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// How long a call may take with all its tries.
    pub time_budget_ms: Millis,
    /// Longest time for one try, whatever is left.
    pub longest_try_ms: Millis,
    /// Retries that may be spent at once, over all calls of the client.
    pub retry_tokens: f64,
    /// Tokens that each good answer gives back.
    pub tokens_back: f64,
}

/// First backoff, as a share of the time budget.
const FIRST_BACKOFF: f64 = 0.01;
/// Longest backoff, as a share of the time budget.
const LONGEST_BACKOFF: f64 = 0.25;
/// Share of the time left that one try may take, so that a silent gateway leaves time for another.
const TRY_SHARE: f64 = 0.5;

impl RetrySettings {
    /// Usual settings with this time budget.
    pub fn with_budget(time_budget_ms: Millis) -> Self {
        RetrySettings { time_budget_ms, longest_try_ms: time_budget_ms, retry_tokens: 10.0, tokens_back: 0.1 }
    }

    /// The upper end of the wait before the given round of tries, from 0.
    pub fn backoff_ms(&self, round: u32) -> Millis {
        let b = self.time_budget_ms as f64;
        (b * FIRST_BACKOFF * 2f64.powi(round.min(16) as i32)).min(b * LONGEST_BACKOFF) as Millis
    }

    /// What one try may take of the time left.
    pub fn try_ms(&self, left: Millis, gateways: usize) -> Millis {
        let share = if gateways > 1 { (left as f64 * TRY_SHARE) as Millis } else { left };
        share.min(self.longest_try_ms).max(1)
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings::with_budget(5_000)
    }
}
