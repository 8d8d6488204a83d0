use scheduler_core::prelude::*;

fn small_state() -> ClusterState {
    let mut l = Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap());
    let told = RegisterWorker {
        name: "w".into(),
        address: "10.0.0.1:80".into(),
        boot_id: "b".into(),
        service: "s".into(),
        kind: "new".into(),
        rack: "r".into(),
        zone: "z1".into(),
        cpu_millis: 8_000,
        memory_mb: 8_000,
        ..RegisterWorker::default()
    };
    let attached = Command::GatewayAttached { name: "g".into(), instance: 1, zone: "z1".into(), http_address: "a".into() };
    let submit = Command::Submit { spec: JobSpec::single("j", "q", "s", 3, 100, 100), due_in_ms: 0 };
    let start = Command::Start { starts: vec![(TaskId::new(1, 0, 0), 0)], gang: false };
    let commands = vec![attached, Command::Register(told), submit, start];
    l.apply(10, CommandBatch { proposer: 1, number: 1, commands });
    assert_eq!(l.state.tables.attempts.len(), 1);
    l.state
}

#[test]
fn any_bytes_are_a_batch_or_a_typed_error() {
    bolero::check!().with_iterations(4_000).for_each(|b: &[u8]| {
        if let Ok(x) = CommandBatch::from_bytes(b) {
            assert_eq!(CommandBatch::from_bytes(&x.to_bytes()).unwrap(), x);
        }
        let _ = PeerFrame::from_bytes(b);
        let _ = ClusterState::from_bytes(b);
    });
}

/// A snapshot with a flipped byte is a typed error: it must not fold on as another state.
#[test]
fn a_damaged_snapshot_is_no_panic() {
    let good = small_state().to_bytes();
    bolero::check!().with_iterations(4_000).with_type::<(u16, u8)>().for_each(|(at, x)| {
        let mut b = good.clone();
        let i = *at as usize % b.len();
        b[i] ^= x;
        assert_eq!(ClusterState::from_bytes(&b).is_ok(), *x == 0);
    });
}

/// Commands in any order, however senseless, keep the books: room given out is the room of what is out, and nothing is out
/// twice.
#[test]
fn senseless_commands_keep_the_books() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut l = Ledger::new(small_state());
        let mut now = 20;
        for (what, x, y) in steps {
            now += u64::from(*y) * 20;
            let task = TaskId::new(u64::from(x % 4), u16::from(y % 2), u32::from(y % 4));
            let attempt = AttemptId { task, number: u16::from(x % 3) };
            let mut f = WorkerFacts { worker: "w".into(), boot_id: format!("b{}", y % 3), ..WorkerFacts::default() };
            let outcome = [Outcome::Succeeded, Outcome::Failed, Outcome::Stopped][*x as usize % 3];
            let c = match what % 9 {
                0 => Command::Submit {
                    spec: JobSpec {
                        allowed_failures: Some(2),
                        ..JobSpec::single(&format!("j{x}"), "q", "s", u32::from(y % 5) + 1, 900, 900)
                    },
                    due_in_ms: i64::from(*x),
                },
                1 => Command::Cancel(CancelJob { name: format!("j{x}") }),
                2 => Command::Start { starts: vec![(task, u32::from(x % 2)), (task, 0)], gang: y % 2 == 0 },
                3 => Command::Drain(DrainWorker { name: "w".into(), on: x % 2 == 0, order_id: None, ..DrainWorker::default() }),
                4 => Command::Remove(RemoveWorker { name: "w".into(), declare_lost: x % 2 == 0 }),
                5 => {
                    f.ended.push(EndedAttempt { ran_ms: 1, ..EndedAttempt::new(attempt, outcome) });
                    Command::Facts(f)
                }
                6 => {
                    f.started.push(attempt);
                    f.voided.push(AttemptId { number: u16::from(y % 3), ..attempt });
                    Command::Facts(f)
                }
                7 => {
                    f.follows = Some(format!("b{}", x % 3));
                    f.missing.push(attempt);
                    Command::Facts(f)
                }
                _ => Command::GatewayLost { name: "g".into(), instance: 1 },
            };
            l.apply(now, CommandBatch { proposer: 1, number: 1, commands: vec![c] });
            let t = &l.state.tables;
            for (i, w) in &t.workers {
                let out = t.attempts.values().filter(|a| a.worker == *i).fold(Room::new(0, 0), |s, a| s.add(a.room));
                assert_eq!(w.used, out);
                assert!(out.fits(w.room()));
            }
            for j in t.jobs.values() {
                let live = t.attempts.keys().filter(|t| t.job == j.number).count() as u32;
                assert_eq!(j.live(), live);
            }
        }
        let again = ClusterState::from_bytes(&l.state.to_bytes()).unwrap();
        assert_eq!(again.digest(), l.state.digest());
    });
}
