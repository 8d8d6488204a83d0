use crate::prelude::*;

/// Milliseconds since it was made; a jump of the wall clock can't move it.
///
/// ```
/// use process_plumbing::{Clock, MonotonicClock};
/// let c = MonotonicClock::start();
/// let a = c.now();
/// assert!(c.now() >= a);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts at 0.
    pub fn start() -> Self {
        MonotonicClock { start: Instant::now() }
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }
}
