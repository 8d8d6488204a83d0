use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn crowd() {
    hold("crowd");
}

#[test]
fn large_jobs() {
    hold("large-jobs");
}

#[test]
fn mass_cancel() {
    hold("mass-cancel");
}

#[test]
fn impossible_jobs() {
    hold("impossible-jobs");
}

#[test]
fn callers_walk_away() {
    hold("callers-walk-away");
}
