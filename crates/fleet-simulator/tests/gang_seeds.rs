use fleet_simulator::prelude::*;

const SEEDS: u64 = 60;
const THREADS: u64 = 4;

/// Gangs that end together, while gateways tell of their members late and workers die.
#[test]
fn no_member_of_a_gang_starts_again_after_its_good_end() {
    let run = |seed| Simulation::new(SimulationSettings::gangs_that_end_together(seed)).run();
    let broken: Vec<String> = std::thread::scope(|scope| {
        let mine = move |t| (1..=SEEDS).filter(move |s| s % THREADS == t).map(run).filter(|o| !o.is_clean() || o.accepted == 0);
        let handles: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || mine(t).map(|o| o.describe()).collect::<Vec<_>>())).collect();
        handles.into_iter().flat_map(|h| h.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{}", broken.len(), broken.join("\n"));
}
