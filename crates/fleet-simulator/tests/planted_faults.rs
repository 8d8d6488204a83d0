use fleet_simulator::prelude::*;

/// Seeds within which each planted error must show.
const SEEDS: std::ops::Range<u64> = 1..41;

/// The first seed on which a planted error breaks one of its rules, and what the same seeds break without it.
fn shows(plant: Plant) {
    let rules = Plant::ALL.iter().find(|p| p.0 == plant).unwrap().1;
    let fired = SEEDS.map(|s| Simulation::new(plant.settings(s)).run()).find(|o| rules.iter().any(|r| o.verdict.count(*r) > 0));
    let Some(seed) = fired.map(|o| o.seed) else { panic!("{plant:?} broke none of {rules:?}") };
    let o = Simulation::new(SimulationSettings { plant: None, ..plant.settings(seed) }).run();
    assert!(o.is_clean(), "without {plant:?}: {}", o.describe());
}

#[test]
fn a_start_that_is_repeated_shows() {
    shows(Plant::StartRepeated);
}

#[test]
fn a_write_that_is_acknowledged_before_it_is_synced_shows() {
    shows(Plant::AckBeforeSync);
}

#[test]
fn a_start_that_leaves_past_its_time_shows() {
    shows(Plant::LeaveByIgnored);
}

#[test]
fn an_order_that_arrives_after_it_was_given_up_shows() {
    shows(Plant::AbandonedArrives);
}

#[test]
fn a_worker_that_forgets_stops_shows() {
    shows(Plant::StopForgotten);
}

#[test]
fn a_lost_disk_that_returns_as_its_old_self_shows() {
    shows(Plant::OldSelf);
}

#[test]
fn a_former_holder_that_is_believed_shows() {
    shows(Plant::FormerHolderBelieved);
}

#[test]
fn a_cut_list_that_is_taken_as_whole_shows() {
    shows(Plant::CutListTakenAsWhole);
}
