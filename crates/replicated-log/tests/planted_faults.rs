//! Each rule of the checker is broken on purpose once, to see it fire.

use crate::support::prelude::*;

mod support;

/// Runs a fleet of wrong executors through crashes; says which rules fired.
fn run_with(fault: Fault, seed: u64) -> World {
    let mut world = World::new(seed, 3);
    for node in world.nodes.values_mut() {
        node.fault = fault;
    }
    (world.chaos, world.load) = (true, true);
    world.at(0, Event::Load);
    world.at(200, Event::Chaos);
    world.run_until(3000);
    world
}

fn seeds_that_fire(fault: Fault, rule: Rule) -> usize {
    (0..40).filter(|seed| run_with(fault, *seed).checker.fired(rule)).count()
}

#[test]
fn sound_executors_fire_nothing() {
    for seed in 0..40 {
        let world = run_with(Fault::None, seed);
        assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    }
}

#[test]
fn an_executor_that_acknowledges_without_storing_loses_a_committed_entry() {
    let mut world = World::new(1, 3);
    for node in world.nodes.values_mut() {
        node.fault = Fault::AcksWithoutStoring;
    }
    world.load = true;
    world.at(0, Event::Load);
    world.run_until(1500);
    assert!(world.answered > 10, "nothing was answered");
    assert!(world.checker.fired(Rule::DurableCommit));
    // Callers were answered; now the power goes, and the fleet starts anew.
    world.checker.violations.clear();
    for id in 1..=3 {
        world.crash(id);
        world.start(id);
    }
    world.run_until(4000);
    let lost = world.checker.fired(Rule::LeaderCompleteness);
    assert!(lost, "{:?}", world.checker.violations);
    assert!(world.checker.fired(Rule::StateMachineSafety));
}

#[test]
fn an_executor_that_forgets_votes_gives_two_leaders_in_a_term() {
    let fired = seeds_that_fire(Fault::ForgetsVotes, Rule::ElectionSafety);
    println!("election safety fired for {fired} of 40 seeds");
    assert!(fired > 0);
}

#[test]
fn clocks_far_out_of_step_give_two_leases() {
    let mut fired = 0;
    for seed in 0..40 {
        let mut world = World::new(seed, 3);
        world.run_until(600);
        let Some(leader) = world.leader() else {
            continue;
        };
        // All but the leader run three times too fast, beyond what the margin covers.
        for node in world.nodes.values_mut().filter(|n| n.id != leader) {
            node.offset += 1000;
            node.fault = Fault::FastClock;
        }
        for id in (1..=3).filter(|id| *id != leader) {
            world.cut.extend([(id, leader), (leader, id)]);
        }
        world.run_until(world.now + 300);
        fired += usize::from(world.checker.fired(Rule::OneLease));
    }
    println!("one lease fired for {fired} of 40 seeds");
    assert!(fired > 0);
}

/// A follower that is cut off from the leader is restarted: says whether two had the lease at once.
fn restarted_follower(fault: Fault, seed: u64) -> bool {
    let mut world = World::new(seed, 3);
    world.run_until(600);
    let Some(leader) = world.leader() else { return false };
    let Some(follower) = (1..=3).find(|id| *id != leader) else { return false };
    world.cut.extend([(follower, leader), (leader, follower)]);
    if let Some(node) = world.nodes.get_mut(&follower) {
        node.fault = fault;
    }
    world.crash(follower);
    world.start(follower);
    world.run_until(world.now + 90);
    world.checker.fired(Rule::OneLease)
}

#[test]
fn a_follower_that_claims_to_have_led_gives_two_leases() {
    let fired = (0..40).filter(|seed| restarted_follower(Fault::ClaimsLead, *seed)).count();
    println!("one lease fired for {fired} of 40 seeds");
    assert!(fired > 0);
    assert!((0..40).all(|seed| !restarted_follower(Fault::None, seed)));
}

fn entry(index: Index, term: Term, log_time: Millis, byte: u8) -> LogEntry {
    LogEntry { term, index, log_time, body: LogEntryBody::Command(vec![byte]) }
}

#[test]
fn forged_observations_fire_the_other_rules() {
    let mut checker = Checker::default();
    checker.appended(&entry(1, 1, 1, 1), Some(0));
    checker.appended(&entry(1, 1, 1, 1), None);
    assert!(checker.violations.is_empty());
    checker.appended(&entry(1, 1, 1, 2), Some(0));
    assert!(checker.fired(Rule::LogMatching));

    let mut checker = Checker::default();
    checker.applied(1, 2, &entry(1, 1, 5, 1), 11);
    checker.applied(1, 2, &entry(2, 1, 5, 1), 12);
    assert!(checker.violations.is_empty());
    checker.applied(1, 2, &entry(3, 2, 5, 1), 13);
    assert!(checker.fired(Rule::LogTime));

    // Committed in term 2: a late leader of term 2 may lack it, one of 3 may not.
    let mut checker = Checker::default();
    checker.applied(1, 2, &entry(1, 1, 5, 1), 11);
    checker.became_leader(1, 2, &LogTail::new(0, 0, 0));
    assert!(checker.violations.is_empty());
    checker.became_leader(2, 3, &LogTail::new(0, 0, 0));
    assert!(checker.fired(Rule::LeaderCompleteness));

    let mut checker = Checker::default();
    checker.durable_on(&entry(1, 1, 1, 1), 2, 2);
    assert!(checker.violations.is_empty());
    checker.durable_on(&entry(1, 1, 1, 1), 1, 2);
    assert!(checker.fired(Rule::DurableCommit));

    let mut checker = Checker::default();
    checker.installed(1, 4, 1);
    assert!(checker.fired(Rule::StateMachineSafety));
}

#[test]
fn a_fleet_without_a_quorum_fires_liveness() {
    let mut world = World::new(3, 3);
    for id in [1, 2] {
        world.crash(id);
        if let Some(node) = world.nodes.get_mut(&id) {
            node.lost = true;
        }
    }
    world.heal_and_check(1200);
    assert!(world.checker.fired(Rule::Liveness));
}
