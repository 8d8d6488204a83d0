use crate::prelude::*;

/// Knows the true lifetime of each task: the upper limit in comparisons.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    lifetimes: BTreeMap<TaskKey, Millis>,
}

impl Oracle {
    /// An oracle over the true lifetimes.
    pub fn new(lifetimes: impl IntoIterator<Item = (TaskKey, Millis)>) -> Self {
        Self { lifetimes: lifetimes.into_iter().collect() }
    }
}

impl LifetimePredictor for Oracle {
    fn remaining_ms(&self, features: &TaskFeatures, uptime: Millis) -> Prediction {
        let whole = match features.until_cancelled {
            true => FOREVER,
            false => self.lifetimes.get(&features.task).copied().unwrap_or_default(),
        };
        Prediction::certain(whole.saturating_sub(uptime))
    }

    fn learn(&mut self, _features: &TaskFeatures, _lifetime_ms: Millis, _censored: bool) {}
}
