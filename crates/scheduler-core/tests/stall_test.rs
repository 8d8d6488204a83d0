//! Tasks that last far longer than their like.

mod ledger;

use ledger::{Bench, job};
use scheduler_core::prelude::*;

/// Twenty short tasks have ended, so that their like is known; then `names` start, each on the worker that placement
/// gives it.
fn after_short_ones(workers: usize, names: &[&str]) -> (Bench, Vec<(TaskId, WorkerIndex)>) {
    let mut b = Bench::new(workers);
    for i in 0..20 {
        b.submit(job(&format!("short-{i}"), 1));
        let (t, _) = b.plan()[0];
        b.started(t);
        b.now += 1_000;
        b.ended(t, Outcome::Succeeded);
    }
    let mut out = Vec::new();
    for n in names {
        b.submit(job(n, 1));
        out.push(b.plan()[0]);
        b.started(out[out.len() - 1].0);
    }
    (b, out)
}

impl Bench {
    /// Time passes, in steps in which running tasks are looked at.
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += 1_000;
            self.one(Command::Advance);
        }
    }
}

#[test]
fn a_stalled_task_is_stopped_and_tried_elsewhere_with_more_patience() {
    let (mut b, out) = after_short_ones(2, &["stalls"]);
    let (t, w) = out[0];
    b.pass(35);
    assert_eq!(b.attempt(t).unwrap().stop, None, "a worker's only overdue task gets four times the limit");
    b.pass(20);
    assert_eq!(b.attempt(t).unwrap().stop, Some(StopReason::Stalled));
    b.ended(t, Outcome::Stopped);
    let (again, v) = b.plan()[0];
    assert_eq!(again, t);
    assert_ne!(w, v);
    assert_eq!(b.ledger.state.job("stalls").unwrap().summary.failures, 0, "a stall is no failure of the task");
    b.started(t);
    b.pass(70);
    assert_eq!(b.attempt(t).unwrap().stop, None, "patience has doubled");
    b.pass(40);
    assert_eq!(b.attempt(t).unwrap().stop, Some(StopReason::Stalled));
}

/// Found by the capacity run: where only the short ones of two sorts had ended, the long ones were stopped and started over
/// and over, 104 starts a second instead of 35.
#[test]
fn tasks_that_take_long_on_other_workers_too_are_no_stall() {
    // Eight on one worker and six on the other: overdue alike.
    let names: Vec<String> = (0..14).map(|i| format!("long-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut b, out) = after_short_ones(2, &names);
    let workers: std::collections::BTreeSet<WorkerIndex> = out.iter().map(|o| o.1).collect();
    assert_eq!(workers.len(), 2);
    b.pass(300);
    assert!(out.iter().all(|(t, _)| b.attempt(*t).unwrap().stop.is_none()));
    let state = ClusterState::from_bytes(&b.ledger.state.to_bytes()).unwrap();
    assert_eq!(state.overdue, b.ledger.state.overdue);
}

#[test]
fn work_without_an_end_never_counts_as_stalled() {
    let mut b = Bench::new(1);
    let mut spec = job("menu", 1);
    spec.run_until_cancelled = true;
    b.submit(spec);
    let (t, _) = b.plan()[0];
    b.started(t);
    b.now += 10_000_000;
    b.one(Command::Advance);
    assert_eq!(b.attempt(t).unwrap().stop, None);
}

/// Found by the capacity run (one step name for all tasks): where one worker's long tasks grew overdue before those of the
/// others did, they were stopped and started over and over, 87 a second among 8,200.
#[test]
fn long_tasks_that_began_at_different_times_are_not_started_over_and_over() {
    let names: Vec<String> = (0..7).map(|i| format!("early-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut b, out) = after_short_ones(2, &names);
    let mut stops = 0;
    for _ in 0..100 {
        b.pass(10);
        for (t, _) in &out {
            if b.attempt(*t).is_some_and(|a| a.stop.is_some()) {
                stops += 1;
                b.ended(*t, Outcome::Stopped);
                b.plan();
                b.started(*t);
            }
        }
    }
    // The patience with all of them doubles with each stop: 10 s, 20 s, ... 1,000 s hold no more than seven.
    assert!((1..=7).contains(&stops), "{stops}");
}
