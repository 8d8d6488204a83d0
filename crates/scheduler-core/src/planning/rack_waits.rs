use crate::prelude::*;

/// Steps whose urgent tasks wait for room near their data, and since when. Known to the leader alone: after a change of leader
/// they wait anew.
#[derive(Clone, Debug, Default)]
pub struct RackWaits {
    since: BTreeMap<StepId, Millis>,
}

/// Part of its estimate that a task may wait for room near its data.
const WAIT_PART: Millis = 3;
/// It waits no longer than this part of a hold interval, whatever its estimate.
const WAIT_HOLD_PART: Millis = 1;

impl RackWaits {
    /// Whether tasks of a step may wait (on), with such an estimate for each; 0: nobody knows, so they don't.
    ///
    /// ```
    /// use cluster_messages::StepId;
    /// use scheduler_core::RackWaits;
    /// let step = StepId { job: 1, occurrence: 0, step: 0 };
    /// let mut waits = RackWaits::default();
    /// assert!(waits.may_wait(step, 1_000, 800, 500));
    /// waits.settle(1_000, &[step].into(), false);
    /// assert!(waits.may_wait(step, 1_250, 800, 500));
    /// assert!(!waits.may_wait(step, 1_300, 800, 500));
    /// ```
    pub fn may_wait(&self, step: StepId, now: Millis, estimate_ms: Millis, hold_interval_ms: Millis) -> bool {
        let patience = (estimate_ms / WAIT_PART).min(hold_interval_ms / WAIT_HOLD_PART);
        let waited = self.since.get(&step).map_or(0, |at| now.saturating_sub(*at));
        waited < patience
    }

    /// Takes over which steps wait after a round; after one that was cut short, those whose turn didn't come wait on.
    pub fn settle(&mut self, now: Millis, held: &BTreeSet<StepId>, cut: bool) {
        self.since.retain(|id, _| cut || held.contains(id));
        for id in held {
            self.since.entry(*id).or_insert(now);
        }
    }
}
