use crate::prelude::*;

/// Unix milliseconds from one reading of the wall clock and a monotonic clock since: jumps don't move it.
#[derive(Clone, Copy, Debug)]
pub struct TrueClock {
    anchor_unix_ms: Millis,
    start: Instant,
}

impl TrueClock {
    /// Reads the wall clock, once.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        TrueClock { anchor_unix_ms: unix.as_millis() as Millis, start: Instant::now() }
    }
}

impl Clock for TrueClock {
    fn now(&self) -> Millis {
        self.anchor_unix_ms + self.start.elapsed().as_millis() as Millis
    }
}
