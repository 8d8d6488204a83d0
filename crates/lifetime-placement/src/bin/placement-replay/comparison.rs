use crate::prelude::*;

/// One of the ways compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Contender {
    /// No lifetimes.
    FirstFit,
    /// No lifetimes.
    BestFit,
    /// LAS with learned distributions.
    Las,
    /// LAVA with learned distributions.
    Lava,
    /// LAVA with all recycling workers of a higher class alike.
    LavaLevel,
    /// LAVA with predictions frozen at the start.
    LavaOneShot,
    /// LAS with true lifetimes.
    LasOracle,
    /// LAVA with true lifetimes.
    LavaOracle,
}

impl Contender {
    /// All of them.
    pub const ALL: [Self; 8] =
        [Self::FirstFit, Self::BestFit, Self::Las, Self::Lava, Self::LavaLevel, Self::LavaOneShot, Self::LasOracle, Self::LavaOracle];
    /// Those that go by learned predictions.
    pub const LEARNED: [Self; 4] = [Self::Las, Self::Lava, Self::LavaLevel, Self::LavaOneShot];
}

/// Reports of one contender on one fleet, one for each seed.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Fleet.
    pub fleet: &'static str,
    /// Which way.
    pub contender: Contender,
    /// Share of predictions made wrong.
    pub wrong: f64,
    /// One for each seed, in order.
    pub reports: Vec<ReplayReport>,
}

impl Comparison {
    /// Replays one trace for each seed.
    pub fn measure(
        contender: Contender,
        shape: &FleetShape,
        settings: &PlacementSettings,
        wrong: f64,
        seeds: &[u64],
    ) -> Result<Self, ReplayError> {
        let reports = seeds.iter().map(|s| Self::replay(contender, shape, settings, wrong, *s)).collect::<Result<_, _>>();
        Ok(Self { fleet: shape.name, contender, wrong, reports: reports.context(PlacementSnafu)? })
    }

    fn replay(
        contender: Contender,
        shape: &FleetShape,
        settings: &PlacementSettings,
        wrong: f64,
        seed: u64,
    ) -> Result<ReplayReport, PlacementError> {
        let trace = Trace::generate(shape, settings.class_bounds_ms[0], seed);
        let learned = trace.mistaken(LearnedDistributions::new(settings), wrong, seed);
        let oracle = || trace.mistaken(trace.oracle(), wrong, seed);
        let (t, s) = (&trace, settings);
        match contender {
            Contender::FirstFit => Replay::run(t, shape, s, trace.oracle(), PlacementStrategy::FirstFit),
            Contender::BestFit => Replay::run(t, shape, s, trace.oracle(), PlacementStrategy::BestFit),
            Contender::Las => Replay::run(t, shape, s, learned, PlacementStrategy::Las),
            Contender::Lava => Replay::run(t, shape, s, learned, PlacementStrategy::Lava),
            Contender::LavaLevel => {
                let level = PlacementSettings { near_recycling_first: false, ..s.clone() };
                Replay::run(t, shape, &level, learned, PlacementStrategy::Lava)
            }
            Contender::LavaOneShot => Replay::run(t, shape, s, OneShot::new(learned), PlacementStrategy::Lava),
            Contender::LasOracle => Replay::run(t, shape, s, oracle(), PlacementStrategy::Las),
            Contender::LavaOracle => Replay::run(t, shape, s, oracle(), PlacementStrategy::Lava),
        }
    }

    /// Heading of [`Self::row`].
    pub const HEADING: &'static str = "fleet | way | wrong | empty % | stranded cpu % | stranded memory % | drain s, all workers | drain s, used workers | gang wait s | longest | task wait s | cpu used %";

    /// One line of a table.
    pub fn row(&self) -> String {
        let of = |figure| Spread::of(&self.reports, figure);
        format!(
            "{} | {:?} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {}",
            self.fleet,
            self.contender,
            self.wrong,
            of(|r| r.empty_pct),
            of(|r| r.stranded_cpu_pct),
            of(|r| r.stranded_memory_pct),
            of(|r| r.drain_s),
            of(|r| r.drain_used_s),
            of(|r| r.gang_wait_s),
            of(|r| r.gang_wait_most_s),
            of(|r| r.task_wait_s),
            of(|r| r.cpu_used_pct),
        )
    }
}
