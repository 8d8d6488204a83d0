use crate::prelude::*;

/// What a worker did with the tasks it was given: workers report no health, so it is inferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct WorkerHealth {
    /// Recent attempts that ended well, aged by halving.
    #[n(0)]
    pub good: f64,
    /// Recent attempts that failed, stalled or were never begun, aged by halving.
    #[n(1)]
    pub bad: f64,
    /// How far it is shunned.
    #[n(2)]
    pub level: u8,
    /// Until when, in cluster time; then one task at a time tries it.
    #[n(3)]
    pub until: Millis,
    /// Bad attempts since the last good one.
    #[n(4)]
    pub streak: u32,
}

/// Attempts after which older ones count half.
const WINDOW: f64 = 16.0;
/// Bad attempts below which nobody is shunned.
const LEAST_BAD: f64 = 2.0;
/// A worker is suspect when its bad share is this many times its peers'.
const PEERS_RATIO: f64 = 3.0;
/// ... and at least this.
const LEAST_SHARE: f64 = 0.3;
/// Highest level: the shun no longer doubles.
const MOST_LEVEL: u8 = 6;

impl WorkerHealth {
    /// Folds one ended attempt, beside the share of bad ones among its peers.
    ///
    /// ```
    /// use scheduler_core::WorkerHealth;
    /// let mut h = WorkerHealth::default();
    /// for at in 0..2 {
    ///     h.record(false, 0.01, at, 5_000);
    /// }
    /// assert!(h.level > 0 && !h.may_try(2, 0));
    /// assert!(h.may_try(h.until, 0) && !h.may_try(h.until, 1));
    /// h.record(true, 0.01, h.until, 5_000);
    /// assert_eq!(h.level, 0);
    /// ```
    pub fn record(&mut self, well: bool, peers_bad: f64, at: Millis, shun_ms: Millis) {
        if self.good + self.bad >= WINDOW {
            self.good /= 2.0;
            self.bad /= 2.0;
        }
        if well {
            self.streak = 0;
            self.good += 1.0;
            if self.level > 0 {
                self.level -= 1;
                if self.level == 0 {
                    // The past is forgiven, else one more failure would shun it at once.
                    self.bad = 0.0;
                }
            }
            return;
        }
        self.streak += 1;
        self.bad += 1.0;
        let share = self.bad / (self.good + self.bad);
        let suspect = self.bad >= LEAST_BAD && share >= LEAST_SHARE && share >= PEERS_RATIO * peers_bad;
        if suspect || self.level > 0 {
            self.level = (self.level + 1).min(MOST_LEVEL);
            self.until = at + (shun_ms << (self.level - 1));
        }
    }

    /// Whether it may get a task now, with so many on it.
    pub fn may_try(&self, now: Millis, live: usize) -> bool {
        self.level == 0 || (now >= self.until && live == 0)
    }

    /// Whether its last attempt was a bad one: others go first until a good one.
    pub fn is_doubted(&self) -> bool {
        self.streak > 0
    }
}
