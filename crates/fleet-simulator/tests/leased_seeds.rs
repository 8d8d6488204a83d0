use fleet_simulator::prelude::*;

const SEEDS: u64 = 120;
const FAULTS: usize = 4;
const THREADS: u64 = 4;

/// Orders carried out late while gateways stand still, are cut off and come back.
#[test]
fn no_task_runs_twice_when_a_gateway_that_lost_its_workers_comes_back() {
    let broken: Vec<String> = std::thread::scope(|scope| {
        let run = |seed| Simulation::new(SimulationSettings::leased_chaos(seed, FAULTS)).run();
        let mine = move |t| (1..=SEEDS).filter(move |s| s % THREADS == t).map(run).filter(|o| !o.is_clean() || o.accepted == 0);
        let handles: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || mine(t).map(|o| o.describe()).collect::<Vec<_>>())).collect();
        handles.into_iter().flat_map(|h| h.join().unwrap()).collect()
    });
    assert!(broken.is_empty(), "{} of {SEEDS} seeds:\n{}", broken.len(), broken.join("\n"));
}
