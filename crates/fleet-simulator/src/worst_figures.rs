use crate::prelude::*;

/// The worst figures of a scenario's runs for one deployment, as a row of a Markdown table.
#[derive(Clone, Debug, PartialEq)]
pub struct WorstFigures {
    name: &'static str,
    profile: Profile,
    runs: usize,
    broken: usize,
    outage_ms: Millis,
    outage_bound_ms: Millis,
    urgent_start_p99_ms: Millis,
    worst_zone_start_p99_ms: Millis,
    drain_ms: Millis,
    config_ms: Millis,
    visible_ms: Millis,
    failed: u64,
    accepted: u64,
    attempts_left: usize,
}

impl WorstFigures {
    /// The table's head.
    pub const HEAD: &'static str = "| scenario | deployment | runs | broken | outage ms (bound) | urgent start p99 ms | worst zone start p99 ms | drain acknowledged ms | configuration in force ms | visible ms | jobs failed of accepted | runs with attempts left |\n|---|---|---|---|---|---|---|---|---|---|---|---|";

    /// The worst of those runs that were the deployment's.
    pub fn of(s: &Scenario, profile: Profile, all: &[SimulationOutcome]) -> Self {
        let mine: Vec<&SimulationOutcome> = all.iter().filter(|o| o.profile == profile).collect();
        let most = |f: fn(&SimulationOutcome) -> Millis| mine.iter().map(|o| f(o)).max().unwrap_or(0);
        WorstFigures {
            name: s.name,
            profile,
            runs: mine.len(),
            broken: mine.iter().filter(|o| !o.is_clean() || s.slow(o).is_some()).count(),
            outage_ms: most(|o| o.verdict.figures.outage_ms),
            outage_bound_ms: s.bounds.outage_ms,
            urgent_start_p99_ms: most(|o| o.verdict.figures.urgent_start_ms.p99),
            worst_zone_start_p99_ms: most(|o| o.verdict.figures.worst_zone_start_p99_ms),
            drain_ms: most(|o| o.verdict.figures.drain_ms.max),
            config_ms: most(|o| o.verdict.figures.config_in_force_ms.max),
            visible_ms: most(|o| o.verdict.figures.visible_ms.max),
            failed: mine.iter().map(|o| o.verdict.figures.jobs_failed).sum(),
            accepted: mine.iter().map(|o| o.accepted).sum(),
            attempts_left: mine.iter().filter(|o| o.attempts_left > 0).count(),
        }
    }
}

impl std::fmt::Display for WorstFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let w = self;
        write!(
            f,
            "| {} | {:?} | {} | {} | {} ({}) | {} | {} ",
            w.name, w.profile, w.runs, w.broken, w.outage_ms, w.outage_bound_ms, w.urgent_start_p99_ms, w.worst_zone_start_p99_ms
        )?;
        write!(f, "| {} | {} | {} | {} of {} | {} |", w.drain_ms, w.config_ms, w.visible_ms, w.failed, w.accepted, w.attempts_left)
    }
}
