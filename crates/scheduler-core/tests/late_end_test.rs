//! Ends that are told of attempts which are over for the log.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;

/// A task whose attempt was lost with its worker's lease: the attempt, and its worker.
fn lost_attempt(b: &mut Bench, spec: JobSpec) -> (AttemptId, Name) {
    b.submit(spec);
    let (task, worker) = b.plan()[0];
    b.started(task);
    let (attempt, worker) = (b.id(task), b.ledger.state.worker_name(worker));
    b.facts(&worker, "b1", |facts| facts.lost.push(attempt));
    assert!(b.attempt(task).is_none());
    (attempt, worker)
}

fn tell_end(b: &mut Bench, (attempt, worker): &(AttemptId, Name), outcome: Outcome) {
    b.facts(worker, "b1", |facts| facts.ended.push(EndedAttempt::new(*attempt, outcome)));
}

fn retried(allowed: u32) -> JobSpec {
    job_with("j", 1, |spec| spec.allowed_failures = Some(allowed))
}

#[test]
fn a_task_whose_good_end_is_told_late_is_not_started_again() {
    let mut b = Bench::new(3);
    let lost = lost_attempt(&mut b, retried(1));
    tell_end(&mut b, &lost, Outcome::Succeeded);
    assert!(b.plan().is_empty());
    assert_eq!((b.state("j"), b.used()), (JobState::Succeeded, 0));
}

#[test]
fn a_good_end_told_after_the_task_was_started_anew_is_the_tasks_end() {
    let mut b = Bench::new(3);
    let lost = lost_attempt(&mut b, retried(1));
    let (task, worker) = b.plan()[0];
    tell_end(&mut b, &lost, Outcome::Succeeded);
    assert_eq!(b.state("j"), JobState::Succeeded);
    let second = AttemptId { task, number: 2 };
    let orphan = b.ledger.state.tables.orphans.contains(&(worker, second));
    assert!(orphan, "what still runs of it is to be stopped");
    let worker = b.ledger.state.worker_name(worker);
    b.facts(&worker, "b1", |facts| facts.ended.push(EndedAttempt::new(second, Outcome::Stopped)));
    assert!(b.ledger.state.tables.orphans.is_empty() && b.plan().is_empty());
}

#[test]
fn a_failed_end_told_late_counts_once() {
    let mut b = Bench::new(3);
    let lost = lost_attempt(&mut b, retried(1));
    (0..3).for_each(|_| tell_end(&mut b, &lost, Outcome::Failed));
    assert_eq!(b.ledger.state.job("j").unwrap().summary.failures, 1);
    assert_eq!(b.plan().len(), 1, "one failure is allowed");
    b.ended(TaskId { index: 0, ..lost.0.task }, Outcome::Failed);
    assert_eq!(b.state("j"), JobState::Failed);
}

#[test]
fn an_end_of_an_attempt_that_never_was_says_nothing() {
    let mut b = Bench::new(3);
    let (attempt, worker) = lost_attempt(&mut b, retried(1));
    for number in [0, 2, 9] {
        tell_end(&mut b, &(AttemptId { number, ..attempt }, worker.clone()), Outcome::Succeeded);
    }
    assert_eq!((b.state("j"), b.plan().len()), (JobState::Running, 1));
}

#[test]
fn work_without_an_end_of_its_own_is_not_over_by_a_late_end() {
    let mut b = Bench::new(3);
    let lasting = job_with("l", 1, |spec| (spec.run_until_cancelled, spec.allowed_failures) = (true, None));
    let lost = lost_attempt(&mut b, lasting);
    tell_end(&mut b, &lost, Outcome::Succeeded);
    tell_end(&mut b, &lost, Outcome::Failed);
    assert_eq!((b.state("l").is_final(), b.plan().len()), (false, 1));
}
