use fleet_simulator::prelude::*;

const SEEDS: u64 = 500;
const FAULTS: usize = 8;
const THREADS: u64 = 4;

/// Faults of all sorts, alone and overlapping: whatever comes, nothing that must never happen does.
#[test]
fn chaos_seeds() {
    let broken: Vec<String> = std::thread::scope(|scope| {
        let run = |seed| Simulation::new(SimulationSettings::chaos(seed, FAULTS)).run();
        let mine = move |t| (1..=SEEDS).filter(move |s| s % THREADS == t).map(run).filter(|o| !o.is_clean() || o.accepted == 0);
        let handles: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || mine(t).map(|o| o.describe()).collect::<Vec<_>>())).collect();
        handles.into_iter().flat_map(|h| h.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{}", broken.len(), broken.join("\n"));
}
