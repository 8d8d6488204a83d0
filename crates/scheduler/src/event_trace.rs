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
                tell_unusual(core, event);
                if all {
                    debug!(target: "events", log_time = core.state().tables.log_time, ?event);
                }
            }
        }
        self.seen = last;
    }
}

/// The line and the count of an event that an operator should see.
fn tell_unusual(core: &Scheduler, event: &Event) {
    match event {
        Event::StaleFacts { worker, assignment } => {
            info!(worker = core.state().worker_name(*worker), assignment, "a gateway told of a worker that it holds no more");
        }
        Event::GangOut { step, members, .. } if gang_size(core, *step).is_some_and(|size| size != *members) => {
            counter!("scheduler_gangs_started_in_part_total").increment(1);
            info!(?step, members, "a gang starts without those of its members that have ended well");
        }
        Event::GangRunOver { step, well: true, waiting, .. } if *waiting > 0 => {
            counter!("scheduler_gangs_done_with_members_waiting_total").increment(1);
            info!(?step, waiting, "a gang ended well after some of its members were told as over without a good end");
        }
        Event::LateEnd { worker, attempt, outcome } => {
            counter!("scheduler_late_ends_total").increment(1);
            info!(worker = core.state().worker_name(*worker), %attempt, ?outcome, "an end came after its attempt was over");
        }
        _ => {}
    }
}

/// How many members a gang has; `None` once its job is over.
fn gang_size(core: &Scheduler, step: StepId) -> Option<u32> {
    let spec = core.state().tables.jobs.get(&step.job)?.spec.as_deref()?;
    Some(spec.steps.get(usize::from(step.step))?.tasks)
}
