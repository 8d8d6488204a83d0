use crate::prelude::*;

/// Takes some tasks for others, to measure what wrong predictions cost.
#[derive(Clone, Debug)]
pub struct Mistaken<P> {
    inner: P,
    taken_for: BTreeMap<TaskKey, TaskFeatures>,
}

impl<P> Mistaken<P> {
    /// Predicts with `inner`, for the tasks in `taken_for` by the features given there.
    pub const fn new(inner: P, taken_for: BTreeMap<TaskKey, TaskFeatures>) -> Self {
        Self { inner, taken_for }
    }
}

impl<P: LifetimePredictor> LifetimePredictor for Mistaken<P> {
    fn remaining_ms(&self, features: &TaskFeatures, uptime: Millis) -> Prediction {
        self.inner.remaining_ms(self.taken_for.get(&features.task).unwrap_or(features), uptime)
    }

    fn learn(&mut self, features: &TaskFeatures, lifetime_ms: Millis, censored: bool) {
        self.inner.learn(features, lifetime_ms, censored);
    }

    fn task_placed(&mut self, features: &TaskFeatures) {
        self.inner.task_placed(self.taken_for.get(&features.task).unwrap_or(features));
    }

    fn task_gone(&mut self, features: &TaskFeatures) {
        self.inner.task_gone(self.taken_for.get(&features.task).unwrap_or(features));
    }
}
