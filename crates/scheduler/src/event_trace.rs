use crate::prelude::*;

/// Writes every event that the leader folds to the log, for reading where a job's time went; but for those that an operator should see,
/// only at `log_level` `debug`.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTrace {
    /// Number of the last event that was looked at.
    seen: u64,
}

impl EventTrace {
    /// Tells what is new in the journal of `core`; on followers it only keeps count.
    pub fn tell(&mut self, core: &Scheduler, now: Millis) {
        let all = enabled!(target: "events", Level::DEBUG);
        let last = core.journal().last();
        if core.is_serving(now) && last != self.seen {
            for event in core.journal().since(self.seen).into_iter().flatten() {
                if let Event::StaleFacts { worker, assignment } = event {
                    info!(worker = core.state().worker_name(*worker), assignment, "a gateway told of a worker that it holds no more");
                } else if all {
                    debug!(target: "events", log_time = core.state().tables.log_time, ?event);
                }
            }
        }
        self.seen = last;
    }
}
