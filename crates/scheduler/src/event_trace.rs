use crate::prelude::*;

/// Writes every event that the leader folds to the log, for reading where a job's time went. Only at `log_level` `debug`.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTrace {
    /// Number of the last event that was looked at.
    seen: u64,
}

impl EventTrace {
    /// Tells what is new in the journal of `core`; on followers it only keeps count.
    pub fn tell(&mut self, core: &Scheduler, now: Millis) {
        if !enabled!(target: "events", Level::DEBUG) {
            return;
        }
        let last = core.journal().last();
        if core.is_serving(now) {
            for event in core.journal().since(self.seen).into_iter().flatten() {
                debug!(target: "events", log_time = core.state().tables.log_time, ?event);
            }
        }
        self.seen = last;
    }
}
