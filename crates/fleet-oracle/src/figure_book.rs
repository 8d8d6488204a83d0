use crate::prelude::*;

/// Significant digits kept in the histograms.
const DIGITS: u8 = 3;

/// A histogram that grows with its values.
fn empty() -> Histogram<u64> {
    let mut h = Histogram::new_with_bounds(1, 1 << 20, DIGITS).expect("bounds and digits are constants within range");
    h.auto(true);
    h
}

/// Collects figures during a run.
pub(crate) struct FigureBook {
    pub(crate) counts: Figures,
    pub(crate) start: Histogram<u64>,
    pub(crate) urgent: Histogram<u64>,
    pub(crate) visible: Histogram<u64>,
    pub(crate) config: Histogram<u64>,
    pub(crate) drain: Histogram<u64>,
    pub(crate) drain_empty: Histogram<u64>,
    pub(crate) cancel: Histogram<u64>,
    zones: BTreeMap<Name, Histogram<u64>>,
}

impl FigureBook {
    pub(crate) fn new() -> Self {
        FigureBook {
            counts: Figures::default(),
            start: empty(),
            urgent: empty(),
            visible: empty(),
            config: empty(),
            drain: empty(),
            drain_empty: empty(),
            cancel: empty(),
            zones: BTreeMap::new(),
        }
    }

    /// Notes a job's first start.
    pub(crate) fn started(&mut self, ms: Millis, urgent: bool, zone: Option<&str>) {
        self.start.saturating_record(ms);
        if urgent {
            self.urgent.saturating_record(ms);
        }
        if let Some(z) = zone {
            self.zones.entry(z.to_owned()).or_insert_with(empty).saturating_record(ms);
        }
    }

    /// All figures.
    pub(crate) fn finish(self, outage_ms: Millis) -> Figures {
        let zones: BTreeMap<Name, LatencyFigure> = self.zones.iter().map(|(z, h)| (z.clone(), LatencyFigure::of(h))).collect();
        Figures {
            start_ms: LatencyFigure::of(&self.start),
            urgent_start_ms: LatencyFigure::of(&self.urgent),
            worst_zone_start_p99_ms: zones.values().map(|f| f.p99).max().unwrap_or(0),
            zone_start_ms: zones,
            visible_ms: LatencyFigure::of(&self.visible),
            config_in_force_ms: LatencyFigure::of(&self.config),
            drain_ms: LatencyFigure::of(&self.drain),
            drain_empty_ms: LatencyFigure::of(&self.drain_empty),
            cancel_ms: LatencyFigure::of(&self.cancel),
            outage_ms,
            ..self.counts
        }
    }
}
