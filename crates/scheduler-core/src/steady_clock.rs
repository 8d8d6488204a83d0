use crate::prelude::*;

/// A wall clock that can't jump: read once, then carried by the monotonic clock, and led towards the machine's wall clock
/// no faster than crystals drift.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock {
    /// Monotonic and wall time of the last reading.
    last: Option<(Millis, Millis)>,
}

/// Time between two corrections.
const CORRECT_EVERY_MS: Millis = 10_000;
/// Most that one correction moves, as a divisor of the time since the last: 500 in a million.
const MOST_DRIFT: Millis = 2_000;

impl SteadyClock {
    /// The steady wall time, given the monotonic and the machine's wall clock.
    ///
    /// ```
    /// let mut c = scheduler_core::SteadyClock::default();
    /// assert_eq!(c.read(0, 1_000_000), 1_000_000);
    /// // The machine's clock jumps an hour ahead: this one barely notices.
    /// assert_eq!(c.read(10_000, 1_010_000 + 3_600_000), 1_010_005);
    /// ```
    pub fn read(&mut self, now: Millis, wall: Millis) -> Millis {
        let Some((at, reading)) = self.last else {
            self.last = Some((now, wall));
            return wall;
        };
        let passed = now.saturating_sub(at);
        let carried = reading + passed;
        if passed < CORRECT_EVERY_MS {
            return carried;
        }
        let most = passed / MOST_DRIFT;
        let steady = wall.clamp(carried - most, carried + most);
        self.last = Some((now, steady));
        steady
    }
}
