use crate::prelude::*;

/// What a transition of the chart does to the band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BandEffect {
    /// The worker takes the class of the placed task.
    TakeClass,
    /// A new time budget starts, of the length set for the class.
    StartTimeBudget,
    /// Every task on the worker becomes residual.
    MarkResiduals,
    /// One class shorter.
    DropClass,
    /// One class longer; the top class stays.
    RiseClass,
    /// No class, budget or residual task is left.
    Clear,
}
