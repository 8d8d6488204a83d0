use crate::prelude::*;

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// Where an executor reads the time that it hands to its core.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Milliseconds since a point that never moves while the process lives.
    fn now(&self) -> Millis;

    /// How long until `at`; nothing when it is past.
    fn until(&self, at: Millis) -> Duration {
        Duration::from_millis(at.saturating_sub(self.now()))
    }
}
