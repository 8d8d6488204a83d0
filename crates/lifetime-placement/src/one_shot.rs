use crate::prelude::*;

/// Freezes the prediction made when a task is placed: no reprediction by uptime.
#[derive(Clone, Debug, Default)]
pub struct OneShot<P> {
    inner: P,
    frozen: BTreeMap<TaskKey, Prediction>,
}

impl<P: LifetimePredictor> OneShot<P> {
    /// Wraps a predictor.
    pub const fn new(inner: P) -> Self {
        Self { inner, frozen: BTreeMap::new() }
    }
}

impl<P: LifetimePredictor> LifetimePredictor for OneShot<P> {
    fn remaining_ms(&self, features: &TaskFeatures, uptime: Millis) -> Prediction {
        let first = match self.frozen.get(&features.task) {
            Some(p) => *p,
            None => self.inner.remaining_ms(features, 0),
        };
        match features.until_cancelled {
            true => first,
            false => Prediction { expected_ms: first.expected_ms.saturating_sub(uptime), ..first },
        }
    }

    fn learn(&mut self, features: &TaskFeatures, lifetime_ms: Millis, censored: bool) {
        self.inner.learn(features, lifetime_ms, censored);
    }

    fn task_placed(&mut self, features: &TaskFeatures) {
        let first = self.inner.remaining_ms(features, 0);
        self.frozen.insert(features.task, first);
        self.inner.task_placed(features);
    }

    fn task_gone(&mut self, features: &TaskFeatures) {
        self.frozen.remove(&features.task);
        self.inner.task_gone(features);
    }
}
