use crate::prelude::*;

/// Predicts remaining lifetimes from features and uptime, and learns from ended tasks.
pub trait LifetimePredictor {
    /// E(T_r | T_u): the expected remaining lifetime of a task that has run for `uptime`.
    fn remaining_ms(&self, features: &TaskFeatures, uptime: Millis) -> Prediction;

    /// Takes in an ended task. `censored`: it was cut short, so it would have lived longer.
    fn learn(&mut self, features: &TaskFeatures, lifetime_ms: Millis, censored: bool);

    /// The task was placed. Most predictors need no note of it.
    fn task_placed(&mut self, _features: &TaskFeatures) {}

    /// The task is gone. Most predictors need no note of it.
    fn task_gone(&mut self, _features: &TaskFeatures) {}
}
