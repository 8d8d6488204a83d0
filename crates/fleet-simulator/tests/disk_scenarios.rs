//! Disks lost one after the other: each newcomer must be a voter before the next loss.

use fleet_simulator::prelude::*;

/// Each scheduler in turn comes back with an empty disk; at the end one more does while the others lose power.
fn disks_lost_in_turn(seed: u64) -> SimulationSettings {
    let mut s = SimulationSettings::new(seed);
    s.schedulers = 3;
    s.faults = (0..4u64)
        .map(|n| {
            let scheduler = (n as usize + seed as usize) % 3;
            (5_000 + n * 8_000, Fault::DiskLost { scheduler, for_ms: 1_000 + 700 * (n % 3) })
        })
        .chain([
            (37_500, Fault::DiskLost { scheduler: seed as usize % 3, for_ms: 900 }),
            (37_510, Fault::SchedulerCrash { scheduler: (seed as usize + 1) % 3, for_ms: 700 }),
            (37_520, Fault::SchedulerCrash { scheduler: (seed as usize + 2) % 3, for_ms: 800 }),
        ])
        .collect();
    s
}

#[test]
fn a_disk_may_be_lost_as_soon_as_the_one_before_is_replaced() {
    for seed in 1..25 {
        let o = Simulation::new(disks_lost_in_turn(seed)).run();
        assert!(o.is_clean(), "{}", o.describe());
    }
}
