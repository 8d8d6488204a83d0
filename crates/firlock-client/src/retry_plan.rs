use crate::prelude::*;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Wait, then try at this gateway within this time.
    Try {
        /// Its place in the list.
        gateway: usize,
        /// Wait before.
        wait_ms: Millis,
        /// Time for the try.
        time_budget_ms: Millis,
    },
    /// Stop: tell the caller the last error.
    GiveUp,
}

/// Decides where and when one call is tried again. It is asked; the executor obeys.
///
/// ```
/// use firlock_client::{RetryPlan, RetrySettings, RetryStep, TransportError, TryError};
/// let settings = RetrySettings::with_budget(1_000);
/// let mut tokens = settings.retry_tokens;
/// let mut plan = RetryPlan::new(settings, 2, 0, 0, 7);
/// assert!(matches!(plan.first(0), RetryStep::Try { gateway: 0, wait_ms: 0, .. }));
/// let lost = TryError::Transport { source: TransportError::TimedOut { after_ms: 500 } };
/// assert!(matches!(plan.after_error(500, &lost, &mut tokens), RetryStep::Try { gateway: 1, .. }));
/// assert_eq!(plan.after_error(1_000, &lost, &mut tokens), RetryStep::GiveUp);
/// ```
#[derive(Clone, Debug)]
pub struct RetryPlan {
    settings: RetrySettings,
    gateways: usize,
    next: usize,
    end: Millis,
    tries: u32,
    rng: ChaCha8Rng,
}

impl RetryPlan {
    /// A plan for one call that begins now, at gateway `first` of `gateways`.
    pub fn new(settings: RetrySettings, gateways: usize, first: usize, now: Millis, seed: u64) -> Self {
        let end = now + settings.time_budget_ms;
        RetryPlan {
            settings,
            gateways: gateways.max(1),
            next: first % gateways.max(1),
            end,
            tries: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The first try.
    pub fn first(&mut self, now: Millis) -> RetryStep {
        self.step(now, 0)
    }

    /// What to do after an error. A retry takes one of the client's tokens; an error that another try can't mend,
    /// a hint that leads past the time budget, or a spent budget end the call.
    pub fn after_error(&mut self, now: Millis, error: &TryError, tokens: &mut f64) -> RetryStep {
        if !error.may_pass() || *tokens < 1.0 {
            return RetryStep::GiveUp;
        }
        let round = self.tries.saturating_sub(1) / self.gateways as u32;
        let jitter = self.rng.random_range(0..=self.settings.backoff_ms(round));
        // A hint is kept to the full; the jitter comes on top, so that a crowd doesn't return as one.
        let step = self.step(now, error.retry_after_ms().unwrap_or(0) + jitter);
        if step != RetryStep::GiveUp {
            *tokens -= 1.0;
        }
        step
    }

    /// A try after a wait, where there is time for both.
    fn step(&mut self, now: Millis, wait_ms: Millis) -> RetryStep {
        let at = now + wait_ms;
        if at >= self.end {
            return RetryStep::GiveUp;
        }
        let gateway = self.next;
        self.next = (self.next + 1) % self.gateways;
        self.tries += 1;
        RetryStep::Try { gateway, wait_ms, time_budget_ms: self.settings.try_ms(self.end - at, self.gateways) }
    }
}
