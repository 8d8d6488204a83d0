use crate::prelude::*;

/// A worker's clock runs at least this fast, in hundredths of ours.
const LEAST_CLOCK_RATE: Millis = 98;

/// What is known of the clock of a worker that takes leases, and of the leases on it.
///
/// ```
/// use gateway_core::WorkerLease;
/// let mut l = WorkerLease::default();
/// assert_eq!(l.grant(0, 1_000), None);
/// l.showed(100, 50_000);
/// assert_eq!(l.grant(200, 1_000), Some(51_098));
/// assert!(!l.lapsed(1_000));
/// assert!(l.lapsed(1_300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkerLease {
    /// The worker's clock showed at least this, at this local time.
    clock: Option<(Millis, Millis)>,
    /// The latest end of a lease in any order that left from here, on the worker's clock.
    granted_until: Millis,
    /// Local time after which no lease can last that another gateway gave.
    others_until: Millis,
}

impl WorkerLease {
    /// The worker came into the share: for `guard` longer, leases that others gave may last.
    pub fn taken_over(&mut self, now: Millis, guard: Millis) {
        self.others_until = now + guard;
    }

    /// The worker's clock, in an answer that arrived now.
    pub fn showed(&mut self, now: Millis, clock_ms: Millis) {
        if self.at_least(now).is_none_or(|known| clock_ms >= known) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// The worker's clock shows at least this now; `None` before it was ever seen.
    pub fn at_least(&self, now: Millis) -> Option<Millis> {
        let (shown, at) = self.clock?;
        Some(shown + now.saturating_sub(at) * LEAST_CLOCK_RATE / 100)
    }

    /// The end of a lease of so long, for an order that leaves now.
    pub fn grant(&mut self, now: Millis, length: Millis) -> Option<Millis> {
        let until = self.at_least(now)? + length;
        self.granted_until = self.granted_until.max(until);
        Some(until)
    }

    /// Whether no lease lasts any more, whoever gave it: then nothing runs on the worker.
    pub fn lapsed(&self, now: Millis) -> bool {
        let own_over = self.granted_until == 0 || self.at_least(now).is_some_and(|clock| clock > self.granted_until);
        own_over && now >= self.others_until
    }
}
