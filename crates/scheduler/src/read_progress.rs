use crate::prelude::*;

/// Up to when all that arrived has been read. A process that is behind still has frames before it that tell of their senders; only when
/// it has waited for more with nothing left to read is it up to date.
///
/// ```
/// let mut progress = scheduler::ReadProgress::default();
/// progress.waited(10, 40, true);
/// assert_eq!(progress.read_to(), 40);
/// progress.read(55);
/// progress.waited(300, 300, true);
/// assert_eq!(progress.read_to(), 55);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadProgress {
    read_to: Millis,
}

impl ReadProgress {
    /// The process waited for something to do; `drained` says that nothing was left to read.
    pub fn waited(&mut self, from: Millis, until: Millis, drained: bool) {
        if drained && until > from {
            self.read_to = self.read_to.max(until);
        }
    }

    /// Something that arrived at a time is read.
    pub fn read(&mut self, arrived_at: Millis) {
        self.read_to = self.read_to.max(arrived_at);
    }

    /// All that arrived before this has been read.
    pub fn read_to(&self) -> Millis {
        self.read_to
    }
}
