use fleet_simulator::prelude::*;

const SEEDS: u64 = 60;
const FAULTS: usize = 4;
const THREADS: u64 = 4;

/// Logs that refuse batches again and again, while gateways stand still, are cut off and come back.
#[test]
fn no_task_runs_twice_when_the_log_refuses_what_gateways_tell() {
    let run = |seed| Simulation::new(SimulationSettings::full_log(seed, FAULTS)).run();
    let broken: Vec<String> = std::thread::scope(|scope| {
        let mine = move |t| (1..=SEEDS).filter(move |s| s % THREADS == t).map(run).filter(|o| !o.is_clean() || o.accepted == 0);
        let handles: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || mine(t).map(|o| o.describe()).collect::<Vec<_>>())).collect();
        handles.into_iter().flat_map(|h| h.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{}", broken.len(), broken.join("\n"));
}
