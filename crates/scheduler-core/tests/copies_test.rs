//! Copies of a task side by side: a silent worker's urgent tasks start anew at once, and whichever copy ends first counts.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;

const TASK: u32 = 0;

/// Two workers with leases, and an urgent task that runs on the first of them to take it: its id, that worker, the other one.
fn running(copies: bool) -> (Bench, TaskId, String, String) {
    let mut b = Bench::new(0);
    b.ledger.state.tables.rules.urgent_from = 3;
    for name in ["w0", "w1"] {
        b.one(Command::Register(RegisterWorker { leased: true, ..b.told(name, name) }));
        b.facts(name, name, |f| f.reachable = Some(true));
    }
    let n = b.submit(job_with("hold", 1, |s| {
        s.urgency = Some(3);
        s.allowed_failures = Some(1);
        s.steps[0].copies = copies;
    }));
    let task = TaskId::new(n, 0, TASK);
    b.plan();
    let on = on(&b, task).unwrap();
    let a = b.id(task);
    b.facts(&on, &on, |f| f.started.push(a));
    let other = if on == "w0" { "w1" } else { "w0" };
    (b, task, on, other.into())
}

fn on(b: &Bench, task: TaskId) -> Option<String> {
    b.attempt(task).map(|a| b.ledger.state.worker_name(a.worker))
}

fn silent(b: &mut Bench, worker: &str) {
    b.facts(worker, worker, |f| (f.reachable, f.silent) = (Some(false), true));
}

fn ends(b: &mut Bench, worker: &str, a: AttemptId, outcome: Outcome) {
    b.facts(worker, worker, |f| f.ended.push(EndedAttempt::new(a, outcome)));
}

#[test]
fn a_silent_workers_task_starts_anew_elsewhere_only_where_copies_are_allowed() {
    for copies in [false, true] {
        let (mut b, task, first, other) = running(copies);
        silent(&mut b, &first);
        let started = b.plan();
        assert_eq!(started.len(), usize::from(copies));
        assert_eq!(on(&b, task), Some(if copies { other } else { first }));
    }
}

#[test]
fn the_worker_of_an_orphan_gets_nothing_new_before_its_end_is_proven() {
    let (mut b, task, first, other) = running(true);
    let old = b.id(task);
    silent(&mut b, &first);
    b.plan();
    b.facts(&first, &first, |f| f.reachable = Some(true));
    b.submit(job("more", 16));
    assert!(b.plan().iter().all(|(_, w)| b.ledger.state.worker_name(*w) == other));
    b.facts(&first, &first, |f| f.voided.push(old));
    assert!(b.plan().iter().all(|(_, w)| b.ledger.state.worker_name(*w) == first));
}

#[test]
fn the_first_good_end_counts_and_the_other_copy_is_stopped() {
    let (mut b, task, first, other) = running(true);
    let old = b.id(task);
    silent(&mut b, &first);
    b.plan();
    let new = b.id(task);
    ends(&mut b, &first, old, Outcome::Succeeded);
    assert_eq!(b.state("hold"), JobState::Succeeded);
    let (other, _) = b.ledger.state.worker(&other).unwrap();
    assert!(b.ledger.state.tables.orphans.contains(&(other, new)));
}

#[test]
fn a_good_end_counts_also_while_the_task_waits_for_room() {
    let (mut b, task, first, _) = running(true);
    let old = b.id(task);
    silent(&mut b, &first);
    ends(&mut b, &first, old, Outcome::Succeeded);
    assert_eq!(b.state("hold"), JobState::Succeeded);
    assert!(b.plan().is_empty());
}

#[test]
fn failures_of_all_copies_count_together() {
    let (mut b, task, first, other) = running(true);
    let old = b.id(task);
    silent(&mut b, &first);
    b.plan();
    ends(&mut b, &first, old, Outcome::Failed);
    assert_eq!(b.state("hold"), JobState::Running, "one failure is allowed");
    let new = b.id(task);
    ends(&mut b, &other, new, Outcome::Failed);
    assert_eq!(b.state("hold"), JobState::Failed);
}

#[test]
fn after_the_last_failure_allowed_nothing_starts_however_the_other_copy_ends() {
    let (mut b, task, first, _) = running(true);
    let old = b.id(task);
    // The first failure, and a second attempt that is detached as well.
    ends(&mut b, &first, old, Outcome::Failed);
    b.plan();
    let second_on = on(&b, task).unwrap();
    let second = b.id(task);
    b.facts(&second_on, &second_on, |f| f.started.push(second));
    silent(&mut b, &second_on);
    b.plan();
    let third_on = on(&b, task).unwrap();
    assert_ne!(third_on, second_on);
    ends(&mut b, &second_on, second, Outcome::Failed);
    let third = b.id(task);
    b.facts(&third_on, &third_on, |f| f.voided.push(third));
    assert_eq!(b.state("hold"), JobState::Failed);
    assert!(b.plan().is_empty());
}

#[test]
fn a_lapsed_lease_clears_the_orphans() {
    let (mut b, task, first, _) = running(true);
    let old = b.id(task);
    silent(&mut b, &first);
    b.facts(&first, &first, |f| (f.lapsed, f.lost) = (true, vec![old]));
    assert!(b.ledger.state.tables.orphans.is_empty());
}

#[test]
fn a_failed_end_told_again_after_a_late_word_of_its_start_counts_once() {
    let (mut b, task, first, other) = running(true);
    let old = b.id(task);
    ends(&mut b, &first, old, Outcome::Failed);
    b.plan();
    b.facts(&first, &first, |f| f.started.push(old));
    ends(&mut b, &first, old, Outcome::Failed);
    let new = b.id(task);
    ends(&mut b, &other, new, Outcome::Stopped);
    assert_ne!(b.state("hold"), JobState::Failed, "one failure of two allowed");
}
