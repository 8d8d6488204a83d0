//! Many seeds of one kind of run, on a few threads.

use fleet_simulator::prelude::*;

const THREADS: u64 = 4;

/// Plays the seeds from 1 on; none may break a rule, and each has to accept jobs.
pub fn assert_clean(seeds: u64, settings: impl Fn(u64) -> SimulationSettings + Sync) {
    let settings = &settings;
    let run = |seed| Simulation::new(settings(seed)).run();
    let is_broken = |outcome: &SimulationOutcome| !outcome.is_clean() || outcome.accepted == 0;
    let broken: Vec<String> = std::thread::scope(|scope| {
        let mine = |thread| (1..=seeds).filter(move |seed| seed % THREADS == thread).map(run).filter(is_broken);
        let play = |thread| scope.spawn(move || mine(thread).map(|outcome| outcome.describe()).collect::<Vec<_>>());
        let handles: Vec<_> = (0..THREADS).map(play).collect();
        handles.into_iter().flat_map(|handle| handle.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{} of {seeds} seeds:\n{}", broken.len(), broken.join("\n"));
}
