use crate::prelude::*;

/// The ways to rank workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementStrategy {
    /// The worker of lowest index that has room.
    FirstFit,
    /// The worker with the least room left on its tighter dimension.
    BestFit,
    /// Temporal cost, then best fit.
    Las,
    /// Lifetime bands, then temporal cost, then best fit.
    #[default]
    Lava,
}

impl PlacementStrategy {
    /// Rank of a worker by its band: recycling workers of a higher class, the
    /// nearer the better if so set; open workers of the same class; any other
    /// worker that is not empty; empty workers.
    pub fn band_rank(settings: &PlacementSettings, class: LifetimeClass, worker: &impl WorkerView) -> u8 {
        match worker.state() {
            WorkerBandState::Recycling if worker.class() > class => match settings.near_recycling_first {
                true => worker.class().number() - class.number(),
                false => 1,
            },
            WorkerBandState::Open if worker.class() == class => LifetimeClass::COUNT,
            WorkerBandState::Empty => LifetimeClass::COUNT + 2,
            _ => LifetimeClass::COUNT + 1,
        }
    }

    /// Room left on the tightest dimension after `task`, in millionths of the worker's room.
    pub fn room_left(task: Room, worker: &impl WorkerView) -> u64 {
        worker.free().sub(task).scarcest_ppm(worker.room())
    }

    /// Temporal cost of a task with exit at `exit`: the bucket of what it adds to the worker's exit.
    pub fn temporal_cost(settings: &PlacementSettings, now: Millis, exit: Millis, worker: &impl WorkerView) -> u8 {
        let worker_exit = worker.exit().unwrap_or(now).max(now);
        settings.temporal_cost(exit.saturating_sub(worker_exit))
    }
}

impl RankWorkers for PlacementStrategy {
    fn score<W: WorkerView>(
        &self,
        settings: &PlacementSettings,
        now: Millis,
        RankedTask { room, class, exit }: RankedTask,
        worker: &W,
    ) -> Score {
        match self {
            Self::FirstFit => (0, 0, 0),
            Self::BestFit => (0, 0, Self::room_left(room, worker)),
            Self::Las => (0, Self::temporal_cost(settings, now, exit, worker), Self::room_left(room, worker)),
            Self::Lava => {
                (Self::band_rank(settings, class, worker), Self::temporal_cost(settings, now, exit, worker), Self::room_left(room, worker))
            }
        }
    }
}
