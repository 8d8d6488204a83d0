use crate::prelude::*;

/// Next state and effects.
type Transition = (WorkerBandState, Vec<BandEffect>);

#[derive(Deserialize)]
struct ChartFile {
    initial: WorkerBandState,
    states: BTreeMap<WorkerBandState, BTreeMap<BandEvent, ChartArrow>>,
}

#[derive(Deserialize)]
struct ChartArrow {
    next: WorkerBandState,
    effects: Vec<BandEffect>,
}

/// The state chart of a worker's band, read from its data file.
#[derive(Clone, Debug)]
pub struct BandChart {
    initial: WorkerBandState,
    arrows: BTreeMap<(WorkerBandState, BandEvent), Transition>,
}

impl BandChart {
    /// The chart this crate is built with.
    pub fn embedded() -> Result<Self, PlacementError> {
        Self::parse(include_str!("worker_band.chart.json"))
    }

    /// Reads a chart.
    pub fn parse(text: &str) -> Result<Self, PlacementError> {
        let file: ChartFile = serde_json::from_str(text).context(crate::placement_error::MalformedChartSnafu)?;
        let arrows =
            file.states.into_iter().flat_map(|(s, arrows)| arrows.into_iter().map(move |(e, a)| ((s, e), (a.next, a.effects)))).collect();
        Ok(Self { initial: file.initial, arrows })
    }

    /// The state of a worker that was just added.
    pub const fn initial(&self) -> WorkerBandState {
        self.initial
    }

    /// Next state and effects; None if the event changes nothing in this state.
    pub fn next(&self, state: WorkerBandState, event: BandEvent) -> Option<(WorkerBandState, &[BandEffect])> {
        self.arrows.get(&(state, event)).map(|(next, effects)| (*next, effects.as_slice()))
    }
}
