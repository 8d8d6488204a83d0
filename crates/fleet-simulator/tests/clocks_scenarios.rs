use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn clock_jumps() {
    hold("clock-jumps");
}
