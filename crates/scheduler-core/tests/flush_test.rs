//! Which news a gateway gets before its next flush is due.

use scheduler_core::prelude::*;

fn session() -> GatewaySession {
    GatewaySession {
        name: "g".into(),
        record: GatewayRecord { instance: 1, zone: "z1".into(), http_address: "a".into(), alive: true },
        view: 0,
        ordered: 0,
        scanned: 0,
        configuration: 0,
        heard_at: 0,
        flushed_at: 0,
        reports: VecDeque::new(),
        reported: 0,
    }
}

#[test]
fn a_jobs_end_goes_to_every_gateway_at_once() {
    let state = ClusterState::new(ClusterRules::new(1_000)).unwrap();
    let over = Event::JobOver { job: 1, state: JobState::Succeeded, at: 5 };
    let started = Event::AttemptStarted { task: TaskId::new(1, 0, 0), boot_id: "b".into(), at: 5 };
    let of = |events: &[&Event]| session().wanted_flush(&state, events.iter().copied());
    assert_eq!(of(&[&started, &over]), Flush::All);
    assert_eq!(of(&[&started]), Flush::Later);
    assert_eq!(of(&[]), Flush::Later);
}

#[test]
fn orders_go_only_to_the_gateway_that_holds_the_worker() {
    let mut ledger = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    let told = RegisterWorker { name: "w".into(), boot_id: "b".into(), zone: "z1".into(), ..RegisterWorker::default() };
    let (at, term) = (5, 1);
    ledger.state.fold(&Event::WorkerKnown { worker: 0, told });
    ledger.state.fold(&Event::WorkerShared { worker: 0, gateway: Some("g".into()) });
    let intended = Event::AttemptIntended { task: TaskId::new(1, 0, 0), worker: 0, at, term };
    let other = GatewaySession { name: "h".into(), ..session() };
    assert_eq!(session().wanted_flush(&ledger.state, [&intended].into_iter()), Flush::Orders);
    assert_eq!(other.wanted_flush(&ledger.state, [&intended].into_iter()), Flush::Later);
}
