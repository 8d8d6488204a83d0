use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn workers_slow() {
    hold("workers-slow");
}

#[test]
fn black_hole() {
    hold("black-hole");
}

#[test]
fn workers_fail_some() {
    hold("workers-fail-some");
}

#[test]
fn workers_stall() {
    hold("workers-stall");
}

#[test]
fn late_orders() {
    hold("late-orders");
}

#[test]
fn lost_worker_answers() {
    hold("lost-worker-answers");
}

#[test]
fn workers_cut() {
    hold("workers-cut");
}

#[test]
fn workers_cold() {
    hold("workers-cold");
}

#[test]
fn workers_drain() {
    hold("workers-drain");
}
