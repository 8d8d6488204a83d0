use crate::prelude::*;

/// Class, state, time budget and residual tasks of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WorkerBand {
    /// Where it stands in the chart.
    #[n(0)]
    pub state: WorkerBandState,
    /// Its lifetime class; of no meaning while empty.
    #[n(1)]
    pub class: LifetimeClass,
    /// Log time past which the class was too short and rises.
    #[n(2)]
    pub time_budget_ends: Millis,
    /// Tasks whose end lets the class drop.
    #[n(3)]
    pub residuals: BTreeSet<TaskKey>,
}

impl WorkerBand {
    /// The band of a worker that was just added.
    pub const fn new(state: WorkerBandState) -> Self {
        Self { state, class: LifetimeClass::SHORTEST, time_budget_ends: FOREVER, residuals: BTreeSet::new() }
    }

    /// Follows the chart on one event. `tasks` are those on the worker now;
    /// `task_class` is the class of the placed task, read by `TakeClass` alone.
    pub fn apply(
        &mut self,
        chart: &BandChart,
        settings: &PlacementSettings,
        (now, event): (Millis, BandEvent),
        task_class: LifetimeClass,
        tasks: impl Fn() -> BTreeSet<TaskKey>,
    ) {
        let Some((next, effects)) = chart.next(self.state, event) else {
            return;
        };
        self.state = next;
        for effect in effects {
            match effect {
                BandEffect::TakeClass => self.class = task_class,
                BandEffect::StartTimeBudget => {
                    self.time_budget_ends = now.saturating_add(settings.time_budget_ms(self.class));
                }
                BandEffect::MarkResiduals => self.residuals = tasks(),
                BandEffect::DropClass => self.class = self.class.dropped(),
                BandEffect::RiseClass => self.class = self.class.risen(),
                BandEffect::Clear => *self = Self::new(self.state),
            }
        }
    }
}
