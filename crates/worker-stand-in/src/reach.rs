use crate::prelude::*;

/// Whether a worker can be reached, and whether it moves. Its transitions are in `reach.chart.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Takes orders and answers.
    Serving,
    /// Runs on, out of reach.
    CutOff,
    /// Doesn't move; orders wait.
    Frozen,
    /// Doesn't move, out of reach.
    FrozenCutOff,
    /// Its process is gone and will return cold.
    Away,
    /// Gone, and out of reach when it returns.
    AwayCutOff,
}

/// What changes that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachEvent {
    /// Its channels are cut.
    Cut,
    /// They are whole again.
    Heal,
    /// It stands still.
    Freeze,
    /// It moves again.
    Thaw,
    /// Its process ends.
    Die,
    /// A new process begins.
    Return,
}

impl Reach {
    /// Whether its tasks run.
    pub fn moves(self) -> bool {
        matches!(self, Reach::Serving | Reach::CutOff)
    }

    /// Whether its process is gone.
    pub fn is_away(self) -> bool {
        matches!(self, Reach::Away | Reach::AwayCutOff)
    }
}

/// The chart of [`Reach`].
pub fn reach_chart() -> &'static Chart<Reach, ReachEvent> {
    static CHART: LazyLock<Chart<Reach, ReachEvent>> =
        LazyLock::new(|| Chart::parse(include_str!("reach.chart.json")).expect("the embedded chart is read by the tests"));
    &CHART
}
