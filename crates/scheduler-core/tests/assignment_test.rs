//! Only the gateway that holds a worker speaks for it as it is now.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;

/// A task that runs on a worker with a lease: its id, the worker, the assignment under which its start was sent.
fn running() -> (Bench, TaskId, u64) {
    let mut b = Bench::new(0);
    b.one(Command::Register(RegisterWorker { leased: true, ..b.told("w0", "w0") }));
    b.facts("w0", "w0", |f| f.reachable = Some(true));
    let n = b.submit(job("hold", 1));
    let task = TaskId::new(n, 0, 0);
    b.plan();
    let a = b.id(task);
    b.facts("w0", "w0", |f| f.started.push(a));
    let assignment = b.assignment("w0");
    (b, task, assignment)
}

/// All that a gateway which saw the lease of a worker lapse says of it.
fn lapse(f: &mut WorkerFacts, a: AttemptId) {
    f.lost.push(a);
    f.missing.push(a);
    f.stalled.push(a);
    (f.lapsed, f.silent, f.reachable, f.draining) = (true, true, Some(false), Some(true));
}

#[test]
fn a_gateway_that_lost_a_worker_cannot_declare_its_attempts_lost() {
    let (mut b, task, old) = running();
    b.move_workers_to("h");
    let (a, before) = (b.id(task), b.ledger.state.worker("w0").unwrap().1.clone());
    b.facts_under(old, "w0", "w0", |f| lapse(f, a));
    assert_eq!(b.attempt(task).map(|x| (x.number, x.stop)), Some((a.number, None)));
    assert_eq!(*b.ledger.state.worker("w0").unwrap().1, before);
    b.facts("w0", "w0", |f| f.lost.push(a));
    assert!(b.attempt(task).is_none(), "its holder can");
}

#[test]
fn what_stays_true_counts_whoever_tells_it() {
    let (mut b, task, old) = running();
    b.move_workers_to("h");
    let a = b.id(task);
    b.facts_under(old, "w0", "w0", |f| f.ended.push(EndedAttempt::new(a, Outcome::Succeeded)));
    assert_eq!(b.state("hold"), JobState::Succeeded);
}

#[test]
fn a_worker_that_comes_back_to_a_gateway_is_held_under_another_assignment() {
    let (mut b, task, old) = running();
    b.move_workers_to("h");
    b.move_workers_to("g");
    assert!(b.assignment("w0") > old);
    let a = b.id(task);
    b.facts_under(old, "w0", "w0", |f| lapse(f, a));
    assert!(b.attempt(task).is_some_and(|x| x.stop.is_none()));
}

#[test]
fn a_gateways_new_process_holds_its_workers_under_new_assignments() {
    let (mut b, _, old) = running();
    b.one(Command::GatewayAttached { name: "g".into(), instance: 9, zone: "z1".into(), http_address: "a".into() });
    assert!(b.assignment("w0") > old);
}

#[test]
fn assignments_rise_for_all_workers_together_and_are_kept_in_snapshots() {
    let (mut b, ..) = running();
    b.one(Command::Register(b.told("w1", "b1")));
    assert!(b.assignment("w1") > b.assignment("w0"));
    let again = ClusterState::from_bytes(&b.ledger.state.to_bytes()).unwrap();
    assert_eq!(again.tables.last_assignment, b.ledger.state.tables.last_assignment);
    assert_eq!(again.worker("w1").unwrap().1.assignment, b.assignment("w1"));
}

#[test]
fn two_gateways_never_use_the_same_fence_at_a_worker() {
    let mut b = Bench::new(1);
    let mut fences = Vec::new();
    for (n, (gateway, instance)) in [("g", 7), ("h", 8), ("g", 8)].into_iter().enumerate() {
        let number = b.submit(job(&format!("hold-{n}"), 1));
        b.plan();
        let updates = b.ledger.updates(gateway, instance, (0, 0), 0, true);
        let orders: Vec<StartOrder> = updates.into_iter().flat_map(|u| u.starts).filter(|o| o.attempt.task.job == number).collect();
        fences.extend(orders.iter().map(|o| o.fence));
        b.move_workers_to(if gateway == "g" { "h" } else { "g" });
    }
    assert_eq!(fences.len(), 3);
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
}
