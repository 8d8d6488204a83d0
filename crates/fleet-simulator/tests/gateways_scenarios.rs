use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn gateway_crash() {
    hold("gateway-crash");
}

#[test]
fn gateway_herd() {
    hold("gateway-herd");
}

#[test]
fn gateway_freeze() {
    hold("gateway-freeze");
}

#[test]
fn gateway_cut() {
    hold("gateway-cut");
}

#[test]
fn gateway_cut_from_workers() {
    hold("gateway-cut-from-workers");
}

#[test]
fn answers_lost() {
    hold("answers-lost");
}
