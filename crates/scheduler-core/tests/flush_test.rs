//! Which news a gateway gets before its next flush is due.

use scheduler_core::prelude::*;

#[test]
fn a_jobs_end_goes_to_every_gateway_at_once() {
    let state = ClusterState::new(ClusterRules::new(1_000)).unwrap();
    let over = Event::JobOver { job: 1, state: JobState::Succeeded, at: 5 };
    let started = Event::AttemptStarted { task: TaskId::new(1, 0, 0), boot_id: "b".into(), at: 5 };
    let of = |events: &[&Event]| UrgentNews::of(&state, events.iter().copied()).wanted(&"g".into());
    assert_eq!(of(&[&started, &over]), Flush::All);
    assert_eq!(of(&[&started]), Flush::Later);
    assert_eq!(of(&[]), Flush::Later);
}

#[test]
fn orders_go_only_to_the_gateway_that_holds_the_worker() {
    let mut ledger = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    let told = RegisterWorker { name: "w".into(), boot_id: "b".into(), zone: "z1".into(), ..RegisterWorker::default() };
    let at = 5;
    ledger.state.fold(&Event::WorkerKnown { worker: 0, told });
    ledger.state.fold(&Event::WorkerShared { worker: 0, gateway: Some("g".into()) });
    let intended = Event::AttemptIntended { task: TaskId::new(1, 0, 0), worker: 0, at };
    let news = UrgentNews::of(&ledger.state, [&intended].into_iter());
    assert_eq!(news.wanted(&"g".into()), Flush::Orders);
    assert_eq!(news.wanted(&"h".into()), Flush::Later);
}

#[test]
fn a_whole_view_comes_in_small_parts_with_the_configuration_first() {
    let mut ledger = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    for n in 0..300 {
        let spec = JobSpec::single(&format!("j{n}"), "q", "s", 1, 100, 100);
        ledger.apply(10 + n, CommandBatch { proposer: 1, number: n, commands: vec![Command::Submit { spec, due_in_ms: 0 }] });
    }
    let parts = ledger.updates("g", 1, (0, 0), 0, true);
    assert!(parts[0].reset && parts[0].evacuated_zones.is_some() && parts[0].jobs.is_empty());
    assert!(parts.iter().all(|p| p.jobs.len() <= 128));
    assert_eq!(parts.iter().map(|p| p.jobs.len()).sum::<usize>(), 300);
    let numbered: Vec<bool> = parts.iter().map(|p| p.upto > 0).collect();
    assert_eq!(numbered.iter().filter(|n| **n).count(), 1);
    assert!(numbered[parts.len() - 1], "only the last part makes the view whole");
}

/// Events that a large fleet's starts and ends bring in the time for which a gateway may be cut off.
const EVENTS_OF_A_CUT: u64 = 4_000 * 5;

#[test]
fn a_gateway_that_was_cut_off_for_seconds_under_load_gets_a_difference() {
    let mut ledger = Ledger::new(ClusterState::new(ClusterRules::new(500)).unwrap());
    let submit = |n: u64| Command::Submit { spec: JobSpec::single(&format!("j{n}"), "q", "s", 1, 100, 100), due_in_ms: 0 };
    ledger.apply(10, CommandBatch { proposer: 1, number: 0, commands: vec![submit(0)] });
    let seen = ledger.journal.last();
    let mut n = 1;
    while ledger.journal.last() < seen + EVENTS_OF_A_CUT - 2 {
        ledger.apply(10 + n, CommandBatch { proposer: 1, number: n, commands: vec![submit(n)] });
        n += 1;
    }
    let updates = ledger.updates("g", 1, (seen, seen), 0, true);
    assert!(updates.len() == 1 && !updates[0].reset, "{} parts of a whole view", updates.len());
}
