use fleet_simulator::prelude::*;

/// Seeds of each scenario: even ones are Thaali's, odd ones Harwick's.
const SEEDS: std::ops::Range<u64> = 1..7;

fn hold(name: &str) {
    let broken = scenario(name).unwrap().broken(SEEDS);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn calm() {
    hold("calm");
}

#[test]
fn leader_crash() {
    hold("leader-crash");
}

#[test]
fn leader_freeze() {
    hold("leader-freeze");
}

#[test]
fn leader_cut() {
    hold("leader-cut");
}

#[test]
fn leader_cut_one_way() {
    hold("leader-cut-one-way");
}

#[test]
fn core_split() {
    hold("core-split");
}

#[test]
fn core_apart() {
    hold("core-apart");
}

#[test]
fn power_loss() {
    hold("power-loss");
}

#[test]
fn rolling_restart() {
    hold("rolling-restart");
}

#[test]
fn disk_lost_then_leader() {
    hold("disk-lost-then-leader");
}

#[test]
fn disk_lost_twice() {
    hold("disk-lost-twice");
}

#[test]
fn slow_disks() {
    hold("slow-disks");
}

#[test]
fn lost_messages() {
    hold("lost-messages");
}

#[test]
fn power_loss_in_a_crowd() {
    hold("power-loss-in-a-crowd");
}
