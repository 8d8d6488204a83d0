use crate::prelude::*;

/// Not held for this long, a worker registers again.
pub(crate) const NOT_HELD_MS: Millis = 10_000;
/// First wait before a registration that got no answer is sent again.
const FIRST_WAIT_MS: Millis = NOT_HELD_MS / 20;
/// Longest such wait; also how long an answer is waited for.
const LONGEST_WAIT_MS: Millis = NOT_HELD_MS / 2;

/// When a worker makes itself known.
#[derive(Default)]
pub(crate) struct Registration {
    answered: bool,
    next_at: Millis,
    wait_ms: Millis,
}

impl Registration {
    /// Begins anew, spread over the first wait.
    pub(crate) fn restart(now: Millis, rng: &mut ChaCha8Rng) -> Self {
        Registration { answered: false, next_at: now + rng.random_range(0..=FIRST_WAIT_MS), wait_ms: FIRST_WAIT_MS }
    }

    /// When to look at it next.
    pub(crate) fn due(&self) -> Millis {
        self.next_at
    }

    /// A gateway holds the worker.
    pub(crate) fn held(&mut self, now: Millis) {
        if self.answered {
            self.next_at = now + NOT_HELD_MS;
        }
    }

    /// The registration was answered, or will not be: then it is sent again, later each time.
    pub(crate) fn answered(&mut self, now: Millis, ok: bool, rng: &mut ChaCha8Rng) {
        if ok {
            self.answered = true;
            self.wait_ms = FIRST_WAIT_MS;
            self.next_at = now + NOT_HELD_MS;
        } else if !self.answered {
            self.next_at = now + rng.random_range(self.wait_ms / 2..=self.wait_ms);
            self.wait_ms = (self.wait_ms * 2).min(LONGEST_WAIT_MS);
        }
    }

    /// Whether to send it now; the next one waits for the answer.
    pub(crate) fn send(&mut self, now: Millis) -> bool {
        if now < self.next_at {
            return false;
        }
        self.answered = false;
        self.next_at = now + LONGEST_WAIT_MS;
        true
    }
}
