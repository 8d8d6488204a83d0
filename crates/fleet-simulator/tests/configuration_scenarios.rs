use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn configurations_race() {
    hold("configurations-race");
}

#[test]
fn configuration_leader_crash() {
    hold("configuration-leader-crash");
}

#[test]
fn restart_after_hundreds() {
    hold("restart-after-hundreds");
}

#[test]
fn configuration_large() {
    hold("configuration-large");
}
