use scheduler_core::prelude::*;

/// A ledger at which a gang of two is out on one worker.
fn gang_out() -> Ledger {
    let mut l = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    let mut spec = JobSpec::single("plan-1", "seating-plans", "booking", 2, 500, 256);
    spec.steps[0].gang = true;
    let worker = RegisterWorker {
        name: "w1".into(),
        address: "10.0.2.1:80".into(),
        boot_id: "b1".into(),
        service: "booking".into(),
        kind: "new".into(),
        rack: "r1".into(),
        zone: "z1".into(),
        cpu_millis: 8_000,
        memory_mb: 16_000,
        ..RegisterWorker::default()
    };
    let gateway = Command::GatewayAttached { name: "g1".into(), instance: 7, zone: "z1".into(), http_address: "10.0.1.1:80".into() };
    apply(&mut l, 10, vec![gateway, Command::Register(worker), Command::Submit { spec, due_in_ms: 0 }]);
    let job = l.state.job("plan-1").unwrap().number;
    let worker = l.state.worker("w1").unwrap().0;
    let starts = (0..2).map(|index| (TaskId::new(job, 0, index), worker)).collect();
    apply(&mut l, 20, vec![Command::Start { starts, gang: true }]);
    assert_eq!((l.state.tables.attempts.len(), l.state.gangs.len()), (2, 1));
    l
}

fn apply(l: &mut Ledger, at: Millis, commands: Vec<Command>) {
    l.apply(at, CommandBatch { proposer: 1, number: at, commands });
}

fn voided(l: &Ledger) -> Command {
    let voided = l.state.tables.attempts.iter().map(|(t, a)| AttemptId { task: *t, number: a.number }).collect();
    Command::Facts(WorkerFacts { worker: "w1".into(), boot_id: "b1".into(), voided, ..WorkerFacts::default() })
}

#[test]
fn a_gang_that_is_cancelled_before_it_runs_whole_leaves_no_date_behind() {
    let mut l = gang_out();
    let void = voided(&l);
    apply(&mut l, 30, vec![Command::Cancel(CancelJob { name: "plan-1".into() }), void]);
    assert_eq!(l.state.job("plan-1").unwrap().summary.state, JobState::Cancelled);
    // A date that nothing takes away would keep the next entry from ever being applied.
    assert!(l.state.gangs.is_empty());
    let late = 10 * l.state.tables.rules.gang_time_budget_ms;
    apply(&mut l, late, vec![Command::Advance]);
    assert_eq!(l.state.tables.log_time, late);
}
