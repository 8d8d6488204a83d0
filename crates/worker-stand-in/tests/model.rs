use worker_stand_in::prelude::*;

const W: &str = "w1";

fn model(behaviour: Behaviour) -> WorkerModel {
    WorkerModel::new(WorkerIdentity::example(W).registration("boot-1"), behaviour, 42)
}

fn attempt(s: &str) -> AttemptId {
    s.parse().unwrap()
}

fn start(token: Token, a: &str, run_ms: Millis) -> WorkerInput {
    let order = StartOrder {
        checkpoint: None,
        lease_until_ms: None,
        estimate_ms: 0,
        gang_by_ms: None,
        attempt: attempt(a),
        fence: 1,
        worker: W.into(),
        job_name: "j".into(),
        service: "booking".into(),
        cpu_millis: 500,
        memory_mb: 100,
        run_until_cancelled: false,
        payload: serde_json::from_value(serde_json::json!({ "run_ms": run_ms })).unwrap(),
        intended_at_ms: 0,
        time_budget_ms: 1_000,
    };
    WorkerInput::Start { token, order }
}

fn stop(token: Token, a: &str) -> WorkerInput {
    WorkerInput::Stop { token, order: StopOrder::unsent(attempt(a), W.into()) }
}

fn hold(token: Token, seen: u64, acknowledged: &[&str]) -> WorkerInput {
    let acknowledged = acknowledged.iter().map(|a| attempt(a)).collect();
    WorkerInput::Hold {
        token,
        order: HoldOrder { worker: W.into(), gateway: "g1".into(), seen, wait_ms: 2_000, acknowledged, ..HoldOrder::default() },
    }
}

/// What a step says about answers: `token:result`, `token:-` for silence.
fn answers(effects: &[WorkerEffect]) -> Vec<String> {
    let word = |e: &WorkerEffect| match e {
        WorkerEffect::Answer { token, answer: WorkerAnswer::Start(a) } => Some(format!("{token}:{:?}", a.result)),
        WorkerEffect::Answer { token, answer: WorkerAnswer::Stop(a) } => Some(format!("{token}:{:?}", a.result)),
        WorkerEffect::Answer { token, answer: WorkerAnswer::Hold(a) } => {
            let kept = if a.unchanged { "same".into() } else { format!("{}r{}e", a.running.len(), a.ended.listed().len()) };
            Some(format!("{token}:{kept}@{}", a.change))
        }
        WorkerEffect::Silence { token } => Some(format!("{token}:-")),
        WorkerEffect::Refuse { token } => Some(format!("{token}:refused")),
        WorkerEffect::OtherLife { token } => Some(format!("{token}:other life")),
        WorkerEffect::Register(_) | WorkerEffect::Observe(_) | WorkerEffect::MemberCame(_) | WorkerEffect::MemberLeft(_) => None,
    };
    effects.iter().filter_map(word).collect()
}

#[test]
fn a_member_of_a_gang_runs_until_its_gang_is_over_or_it_is_stopped() {
    let member = |token, a: &str| {
        let mut input = start(token, a, 50);
        if let WorkerInput::Start { order, .. } = &mut input {
            order.payload = serde_json::from_value(serde_json::json!({ "run_ms": 50, "members": 3 })).unwrap();
        }
        input
    };
    let mut m = model(Behaviour::default());
    m.step(0, WorkerInput::Tick);
    let came = GangMember { attempt: attempt("7.0.0.1"), members: 3, run_ms: Some(50), outcome: Outcome::Succeeded };
    assert!(m.step(10, member(1, "7.0.0.1")).contains(&WorkerEffect::MemberCame(came)));
    m.step(10, member(2, "7.0.1.1"));
    m.step(5_000, WorkerInput::Tick);
    assert_eq!(m.running().len(), 2, "its own time says nothing");
    m.step(5_000, WorkerInput::MemberEnds { attempt: attempt("7.0.0.1"), outcome: Outcome::Succeeded });
    assert_eq!(m.running(), [attempt("7.0.1.1")]);
    assert!(m.step(5_010, stop(3, "7.0.1.1")).contains(&WorkerEffect::MemberLeft(attempt("7.0.1.1"))));
    assert!(m.running().is_empty());
}

/// What a step shows to the oracle.
fn seen(effects: &[WorkerEffect]) -> Vec<String> {
    let word = |e: &WorkerEffect| match e {
        WorkerEffect::Observe(Observation::RunStarted { attempt, ordered_at, .. }) => Some(format!("start {attempt} {ordered_at}")),
        WorkerEffect::Observe(Observation::RunEnded { attempt, outcome, .. }) => Some(format!("end {attempt} {outcome:?}")),
        WorkerEffect::Observe(Observation::RunLost { attempt, boot, .. }) => Some(format!("lost {attempt} {boot}")),
        WorkerEffect::Observe(Observation::ResultLost { attempt, job_name, outcome, .. }) => {
            Some(format!("forgot {attempt} {job_name} {outcome:?}"))
        }
        WorkerEffect::Observe(Observation::DrainSent { on, .. }) => Some(format!("drain {on}")),
        WorkerEffect::Observe(Observation::WorkerUnreachable { on, .. }) => Some(format!("out {on}")),
        _ => None,
    };
    effects.iter().filter_map(word).collect()
}

#[test]
fn runs_ends_and_keeps_the_outcome_until_acknowledged() {
    let mut m = model(Behaviour::default());
    assert_eq!(answers(&m.step(0, hold(1, 0, &[]))), ["1:0r0e@1"]);
    assert!(answers(&m.step(1, hold(2, 1, &[]))).is_empty());
    let e = m.step(10, start(3, "1.0.0.1", 100));
    assert_eq!((answers(&e), seen(&e)), (vec!["3:Started".into(), "2:1r0e@2".into()], vec!["start 1.0.0.1 10".into()]));
    assert!(answers(&m.step(11, hold(4, 2, &[]))).is_empty());
    assert_eq!(m.next_wake(), Some(110));
    let e = m.step(110, WorkerInput::Tick);
    assert_eq!((answers(&e), seen(&e)), (vec!["4:0r1e@3".into()], vec!["end 1.0.0.1 Succeeded".into()]));
    assert_eq!(answers(&m.step(120, stop(5, "1.0.0.1"))), ["5:Ended"]);
    assert_eq!(answers(&m.step(130, hold(6, 0, &[]))), ["6:0r1e@3"]);
    assert_eq!(answers(&m.step(140, hold(7, 0, &["1.0.0.1"]))), ["7:0r0e@3"]);
    assert_eq!(answers(&m.step(150, stop(8, "1.0.0.1"))), ["8:Ended"]);
    assert!(answers(&m.step(200, hold(9, 3, &[]))).is_empty());
    assert_eq!(answers(&m.step(2_200, WorkerInput::Tick)), ["9:same@3"]);
}

#[test]
fn a_stop_that_comes_first_is_remembered() {
    let mut m = model(Behaviour::default());
    assert_eq!(answers(&m.step(0, stop(1, "1.0.0.1"))), ["1:Void"]);
    let e = m.step(9_000, start(2, "1.0.0.1", 100));
    assert_eq!((answers(&e), seen(&e)), (vec!["2:Void".to_owned()], vec![]));
}

#[test]
fn a_late_start_is_voidable_until_it_begins() {
    let mut m = model(Behaviour { late_start_ms: (500, 500), ..Behaviour::default() });
    assert!(answers(&m.step(0, start(1, "1.0.0.1", 10))).is_empty());
    assert!(answers(&m.step(0, start(2, "1.0.1.1", 10))).is_empty());
    assert_eq!(answers(&m.step(400, stop(3, "1.0.0.1"))), ["1:Void", "3:Void"]);
    let e = m.step(500, WorkerInput::Tick);
    assert_eq!((answers(&e), seen(&e)), (vec!["2:Started".into()], vec!["start 1.0.1.1 0".into()]));
    assert_eq!(answers(&m.step(501, stop(4, "1.0.1.1"))), ["4:Stopped"]);
    assert_eq!(answers(&m.step(502, stop(5, "1.0.1.1"))), ["5:Stopped"]);
}

#[test]
fn a_lost_answer_is_carried_out_all_the_same() {
    let mut m = model(Behaviour { lost_answer_ratio: 1.0, ..Behaviour::default() });
    let e = m.step(0, start(1, "1.0.0.1", 100));
    assert_eq!((answers(&e), seen(&e)), (vec!["1:-".into()], vec!["start 1.0.0.1 0".into()]));
    assert_eq!(answers(&m.step(1, hold(2, 0, &[]))), ["2:1r0e@2"]);
}

#[test]
fn a_worker_sheds_nothing() {
    let mut m = model(Behaviour::default());
    for i in 0..40 {
        m.step(0, start(i, &format!("1.0.{i}.1"), 100));
    }
    let e = m.step(1, start(99, "1.0.0.1", 100));
    assert_eq!(seen(&e), ["start 1.0.0.1 1"]);
    assert_eq!(m.running().len(), 41);
}

#[test]
fn it_errs_as_it_is_told() {
    let mut m = model(Behaviour { fail_ratio: 1.0, ..Behaviour::default() });
    m.step(0, start(1, "1.0.0.1", 5_000));
    assert_eq!(seen(&m.step(100, WorkerInput::Tick)), ["end 1.0.0.1 Failed"]);
    m.step(200, WorkerInput::Behave(Behaviour { slow_factor: 3.0, ..Behaviour::default() }));
    m.step(200, start(2, "1.0.1.1", 100));
    assert!(seen(&m.step(499, WorkerInput::Tick)).is_empty());
    assert_eq!(seen(&m.step(500, WorkerInput::Tick)), ["end 1.0.1.1 Succeeded"]);
    m.step(600, WorkerInput::Behave(Behaviour { stall_ratio: 1.0, ..Behaviour::default() }));
    m.step(600, start(3, "1.0.2.1", 100));
    assert!(seen(&m.step(900_000, WorkerInput::Tick)).is_empty());
    assert_eq!(m.running(), [attempt("1.0.2.1")]);
}

#[test]
fn frozen_it_stands_still_and_orders_pile_up() {
    let mut m = model(Behaviour::default());
    m.step(0, start(1, "1.0.0.1", 1_000));
    let e = m.step(500, WorkerInput::Behave(Behaviour { frozen_until: Some(20_500), ..Behaviour::default() }));
    assert_eq!(seen(&e), ["out true"]);
    assert!(m.step(600, start(2, "1.0.1.1", 100)).is_empty());
    let e = m.step(20_500, WorkerInput::Tick);
    assert_eq!((answers(&e), seen(&e)), (vec!["2:Started".into()], vec!["out false".into(), "start 1.0.1.1 600".into()]));
    assert_eq!(seen(&m.step(20_999, WorkerInput::Tick)), ["end 1.0.1.1 Succeeded"]);
    assert_eq!(seen(&m.step(21_000, WorkerInput::Tick)), ["end 1.0.0.1 Succeeded"]);
}

#[test]
fn cut_off_it_runs_on() {
    let mut m = model(Behaviour::default());
    m.step(0, start(1, "1.0.0.1", 1_000));
    m.step(1, hold(2, 2, &[]));
    let e = m.step(2, WorkerInput::Behave(Behaviour { cut_off: true, ..Behaviour::default() }));
    assert_eq!((answers(&e), seen(&e)), (vec!["2:-".into()], vec!["out true".into()]));
    let e = m.step(3, start(3, "1.0.1.1", 10));
    assert_eq!((answers(&e), seen(&e)), (vec!["3:-".to_owned()], vec![]));
    assert_eq!(seen(&m.step(1_000, WorkerInput::Tick)), ["end 1.0.0.1 Succeeded"]);
    m.step(2_000, WorkerInput::Behave(Behaviour::default()));
    assert_eq!(answers(&m.step(2_001, hold(4, 0, &[]))), ["4:0r1e@3"]);
}

#[test]
fn cold_it_knows_nothing() {
    let mut m = model(Behaviour { draining: true, ..Behaviour::default() });
    m.step(0, start(1, "1.0.0.1", 1_000));
    m.step(0, start(2, "1.0.1.1", 10));
    m.step(10, stop(3, "1.0.2.1"));
    let e = m.step(20, WorkerInput::Die { boot_id: "boot-2".into(), away_ms: 500 });
    assert_eq!(seen(&e), ["lost 1.0.0.1 boot-1", "forgot 1.0.1.1 j Succeeded", "drain false", "out true"]);
    assert_eq!(answers(&m.step(30, hold(4, 0, &[]))), ["4:-"]);
    assert_eq!(m.next_wake(), Some(520));
    assert_eq!(seen(&m.step(520, WorkerInput::Tick)), ["out false"]);
    assert_eq!((m.identity().boot_id.as_str(), m.behaviour().draining), ("boot-2", false));
    assert_eq!(answers(&m.step(530, hold(5, 0, &[]))), ["5:0r0e@1"]);
    assert_eq!(answers(&m.step(540, start(6, "1.0.2.1", 10))), ["6:Started"]);
}

#[test]
fn it_registers_until_answered_and_again_when_not_held() {
    let mut m = model(Behaviour::default());
    let go = |m: &mut WorkerModel, from: Millis, to: Millis| -> Vec<Millis> {
        let registers = |e: &WorkerEffect| matches!(e, WorkerEffect::Register(_));
        (from..to).filter(|&t| m.step(t, WorkerInput::Tick).iter().any(registers)).collect()
    };
    // Nobody says that no answer will come.
    let first = go(&mut m, 0, 15_000);
    assert!(first[0] <= 500 && first.len() == 3, "{first:?}");
    let mut waits = Vec::new();
    for _ in 0..6 {
        let t = *first.last().unwrap() + waits.iter().sum::<Millis>();
        m.step(t, WorkerInput::Registered(false));
        waits.push(go(&mut m, t, t + 6_000)[0] - t);
    }
    assert!(waits[0] <= 500 && waits[5] >= 2_500 && waits[5] <= 5_000, "{waits:?}");
    m.step(30_000, WorkerInput::Registered(true));
    assert!(go(&mut m, 30_001, 40_000).is_empty());
    for t in [39_000, 47_000] {
        m.step(t, hold(t, 0, &[]));
    }
    assert!(go(&mut m, 47_001, 57_000).is_empty());
    assert_eq!(go(&mut m, 57_000, 57_001), [57_000]);
}

#[test]
fn same_seed_same_worker() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let moves: Vec<(u8, u8)> = (0..rng.random_range(0..80)).map(|_| rng.random()).collect();
        let run = || {
            let b =
                Behaviour { late_start_ms: (0, 300), lost_answer_ratio: 0.3, fail_ratio: 0.3, stall_ratio: 0.1, ..Behaviour::default() };
            let mut m = WorkerModel::new(WorkerIdentity::example(W).registration("b"), b, seed);
            let (mut now, mut log, mut orders) = (0, Vec::new(), 0);
            for (t, (kind, n)) in moves.iter().enumerate() {
                now += u64::from(*n) * 4;
                let (token, a) = (t as u64, format!("1.0.{}.1", n % 8));
                let input = match kind % 5 {
                    0 => start(token, &a, 50),
                    1 => stop(token, &a),
                    2 => hold(token, u64::from(*n), &[&a]),
                    3 => WorkerInput::Behave(Behaviour { frozen_until: Some(now + 100), cut_off: n % 2 == 0, ..m.behaviour().clone() }),
                    _ => WorkerInput::Die { boot_id: format!("b{t}"), away_ms: u64::from(*n) },
                };
                orders += usize::from(kind % 5 < 3);
                log.extend(m.step(now, input));
            }
            log.extend(m.step(now, WorkerInput::Behave(Behaviour { cut_off: true, ..m.behaviour().clone() })));
            log.extend(m.step(now, WorkerInput::Die { boot_id: "end".into(), away_ms: 0 }));
            // Every order is answered or met with silence, once.
            assert_eq!(answers(&log).len(), orders);
            log
        };
        assert_eq!(run(), run());
    }
}
