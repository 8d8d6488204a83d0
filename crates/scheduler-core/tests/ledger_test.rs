mod ledger;

use ledger::*;
use scheduler_core::prelude::*;

fn gang(name: &str, tasks: u32) -> JobSpec {
    let mut j = job(name, tasks);
    j.steps[0].gang = true;
    j
}

/// Found by the simulator (seed 51): a cancelled gang's time stayed on the agenda, and advancing past it never ended.
#[test]
fn time_goes_on_past_a_cancelled_gang() {
    let mut b = Bench::new(1);
    b.submit(gang("g", 2));
    let out = b.plan();
    assert_eq!(out.len(), 2);
    b.one(Command::Cancel(CancelJob { name: "g".into() }));
    for (t, _) in out {
        b.ended(t, Outcome::Stopped);
    }
    assert_eq!(b.state("g"), JobState::Cancelled);
    b.now += 60_000;
    b.one(Command::Advance);
    assert!(b.ledger.state.gangs.is_empty());
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut b = Bench::new(1);
    b.submit(gang("large", 9));
    assert!(b.plan().is_empty());
    b.submit(gang("fits", 3));
    let out = b.plan();
    assert_eq!(out.len(), 3);
    // One never starts: all go back together once the time is over.
    b.started(out[0].0);
    b.started(out[1].0);
    b.now += 10_000;
    b.one(Command::Advance);
    assert!(out.iter().all(|(t, _)| b.attempt(*t).unwrap().stop.is_some()));
    b.ended(out[0].0, Outcome::Stopped);
    assert!(b.plan().is_empty(), "none starts before all are back");
    b.ended(out[1].0, Outcome::Stopped);
    let last = b.id(out[2].0);
    b.facts("w0", "b1", |f| f.voided.push(last));
    assert_eq!(b.plan().len(), 3);
}

#[test]
fn a_task_is_tried_as_often_as_allowed_and_elsewhere_first() {
    let mut b = Bench::new(2);
    let mut spec = job("j", 1);
    spec.allowed_failures = Some(2);
    b.submit(spec);
    let mut workers = Vec::new();
    for _ in 0..3 {
        let out = b.plan();
        workers.push(out[0].1);
        b.ended(out[0].0, Outcome::Failed);
    }
    assert_ne!(workers[0], workers[1]);
    assert_eq!(b.state("j"), JobState::Failed);
    assert!(b.plan().is_empty());
    assert_eq!(b.used(), 0);
}

#[test]
fn a_second_intent_for_one_task_changes_nothing() {
    let mut b = Bench::new(2);
    b.submit(job("j", 1));
    let (t, w) = b.plan()[0];
    b.one(Command::Start { starts: vec![(t, 1 - w)], gang: false });
    assert_eq!(b.attempt(t).unwrap().worker, w);
    assert_eq!(b.used(), 1_000);
}

#[test]
fn room_is_never_given_twice() {
    let mut b = Bench::new(1);
    let n = b.submit(job("j", 20));
    let starts: Vec<_> = (0..20).map(|index| (TaskId::new(n, 0, index), 0)).collect();
    b.one(Command::Start { starts, gang: false });
    assert_eq!(b.used(), 8_000);
    assert_eq!(b.ledger.state.tables.attempts.len(), 8);
}

#[test]
fn a_boot_counts_as_following_only_as_told_by_who_saw_it() {
    let mut b = Bench::new(1);
    b.submit(job("j", 1));
    let (t, _) = b.plan()[0];
    b.started(t);
    // A late word of a boot that nobody saw follow proves nothing.
    b.facts("w0", "b0", |f| f.reachable = Some(true));
    let told = b.told("w0", "b0");
    b.one(Command::Register(told));
    assert!(b.attempt(t).is_some());
    b.facts("w0", "b2", |f| f.follows = Some("b1".into()));
    assert!(b.attempt(t).is_none(), "the new boot proves its end");
    assert_eq!(b.plan()[0].0, t);
    // The old boot's starts and voids prove nothing any more.
    let a = b.id(t);
    b.facts("w0", "b1", |f| f.voided.push(a));
    assert!(b.attempt(t).is_some());
}

#[test]
fn an_unproven_start_is_voided_before_it_is_tried_elsewhere() {
    let mut b = Bench::new(2);
    b.submit(job("j", 1));
    let (t, w) = b.plan()[0];
    b.now += 5_000;
    b.one(Command::Advance);
    assert_eq!(b.attempt(t).unwrap().stop, Some(StopReason::Unproven));
    assert!(b.plan().is_empty(), "its fate isn't proven");
    let (a, name) = (b.id(t), b.ledger.state.worker_name(w));
    b.facts(&name, "b1", |f| f.voided.push(a));
    assert_eq!(b.plan().len(), 1);
    assert_eq!(b.attempt(t).unwrap().number, 2);
}

#[test]
fn drains_and_evacuations_void_what_is_on_its_way() {
    let mut b = Bench::new(1);
    b.submit(job("j", 2));
    let out = b.plan();
    b.started(out[0].0);
    b.one(Command::Drain(DrainWorker { name: "w0".into(), on: true, order_id: None, ..DrainWorker::default() }));
    assert_eq!(b.attempt(out[0].0).unwrap().stop, None, "what runs may end");
    assert_eq!(b.attempt(out[1].0).unwrap().stop, Some(StopReason::Draining));
    b.submit(job("k", 1));
    assert!(b.plan().is_empty());
    b.one(Command::Drain(DrainWorker { name: "w0".into(), on: false, order_id: None, ..DrainWorker::default() }));
    let order = |on, id: &str| Command::Evacuate(EvacuateZone { zone: "z1".into(), on, order_id: id.into() });
    b.one(order(true, "o1"));
    assert!(b.plan().is_empty());
    b.one(order(false, "o2"));
    // The first order again, late: acknowledged, and not carried out a second time.
    let again = b.one(order(true, "o1"));
    assert!(matches!(again, Some(Ok(AnswerBody::EvacuateZone(z))) if z.already && !z.on));
    assert_eq!(b.plan().len(), 1);
}

#[test]
fn a_step_waits_for_all_it_depends_on() {
    let mut b = Bench::new(1);
    let mut spec = job("j", 2);
    let mut second = spec.steps[0].clone();
    (second.name, second.after, second.tasks) = ("second".into(), vec!["main".into()], 1);
    spec.steps.push(second);
    b.submit(spec);
    let out = b.plan();
    assert!(out.iter().all(|(t, _)| t.step == 0));
    b.ended(out[0].0, Outcome::Succeeded);
    assert!(b.plan().is_empty());
    b.ended(out[1].0, Outcome::Succeeded);
    let out = b.plan();
    assert_eq!(out[0].0.step, 1);
    b.ended(out[0].0, Outcome::Succeeded);
    assert_eq!(b.state("j"), JobState::Succeeded);
}

#[test]
fn a_removed_worker_keeps_its_tasks_unless_declared_lost() {
    let mut b = Bench::new(2);
    b.submit(job("j", 1));
    let (t, w) = b.plan()[0];
    b.started(t);
    let name = b.ledger.state.worker_name(w);
    let remove = |declare_lost| Command::Remove(RemoveWorker { name: name.clone(), declare_lost });
    assert!(matches!(b.one(remove(false)), Some(Err(CallError::NotAllowed { .. }))));
    assert!(matches!(b.one(remove(true)), Some(Ok(AnswerBody::RemoveWorker(r))) if r.lost_attempts == 1));
    assert_eq!(b.plan().len(), 1);
}

#[test]
fn a_snapshot_folds_on_like_the_state_it_was_made_from() {
    let mut b = Bench::new(3);
    for i in 0..30 {
        let mut s = if i % 3 == 0 { gang(&format!("j{i}"), 2) } else { job(&format!("j{i}"), 2) };
        s.allowed_failures = Some(1);
        b.submit(s);
        let out = b.plan();
        for (n, (t, _)) in out.iter().enumerate() {
            match n % 4 {
                0 => b.ended(*t, Outcome::Succeeded),
                1 if b.attempt(*t).is_some() => b.started(*t),
                2 if b.attempt(*t).is_some() => b.ended(*t, Outcome::Failed),
                _ => {}
            }
        }
    }
    let state = ClusterState::from_bytes(&b.ledger.state.to_bytes()).unwrap();
    let mut other = Bench { ledger: Ledger::new(state), memory: PlannerMemory::default(), ..Bench::new(0) };
    other.now = b.now;
    for i in 0..40 {
        for x in [&mut b, &mut other] {
            x.now += 700;
            x.submit(job(&format!("late-{i}"), 1));
            x.plan();
        }
        assert_eq!(b.ledger.state.digest(), other.ledger.state.digest(), "round {i}");
        assert_eq!(b.ledger.journal.last(), other.ledger.journal.last());
    }
}

#[test]
fn urgent_work_goes_first_and_a_mass_of_impossible_jobs_hinders_nobody() {
    let mut b = Bench::new(1);
    let tree = br#"{"regions":{"r":{"zones":{"z1":{"queues":{"q":{"settings":{"urgency":8}},"slow":{"settings":{"urgency":1}}}}}}}}"#;
    b.one(Command::PutConfiguration { base_version: 0, change_id: "c".into(), tree: tree.to_vec(), source: None });
    for i in 0..500 {
        let mut s = job(&format!("never-{i}"), 1);
        s.steps[0].cpu_millis = 100_000;
        b.submit(s);
    }
    for i in 0..20 {
        b.submit(JobSpec { queue: "slow".into(), ..job(&format!("slow-{i}"), 1) });
    }
    let n = b.submit(job("urgent", 1));
    let out = b.plan();
    assert_eq!(out[0].0.job, n);
    // The reserve of the zone stays free for urgent work.
    assert_eq!(out.len(), 1 + 6);
    let n = b.submit(job("more", 1));
    assert_eq!(b.plan().iter().map(|s| s.0.job).collect::<Vec<_>>(), [n]);
}

#[test]
fn a_zone_that_nobody_knows_is_not_evacuated() {
    let mut b = Bench::new(1);
    let order = |zone: &str| Command::Evacuate(EvacuateZone { zone: zone.into(), on: true, order_id: format!("o-{zone}") });
    assert!(matches!(b.one(order("z9")), Some(Err(CallError::NotFound { .. }))));
    assert!(matches!(b.one(order("z1")), Some(Ok(_))));
}

/// Found by the simulator (gateway-cut-from-workers): urgent tasks waited up to 10.6 s behind a gateway that was cut off from
/// its workers while others could reach them.
#[test]
fn a_worker_out_of_its_gateways_reach_is_tried_by_another() {
    let mut b = Bench::new(1);
    b.one(Command::GatewayAttached { name: "g2".into(), instance: 8, zone: "z1".into(), http_address: "b".into() });
    let gateway = |b: &Bench| b.ledger.state.tables.workers[&0].gateway.clone().unwrap();
    let first = gateway(&b);
    b.facts("w0", "b1", |f| f.reachable = Some(false));
    let second = gateway(&b);
    assert_ne!(first, second);
    b.submit(job("j", 1));
    assert!(b.plan().is_empty(), "nothing is intended for a worker out of reach");
    // The second gets no answer either: it has nothing new to tell, and keeps it.
    b.facts("w0", "b1", |f| f.reachable = Some(false));
    assert_eq!(gateway(&b), second);
    b.facts("w0", "b1", |f| f.reachable = Some(true));
    assert_eq!(b.plan().len(), 1);
}

/// Found by the simulator (seed 31422, 12 faults): a gateway that woke after 23 s carried out the copies of a drain and of its
/// end that it had taken along, and so undid a newer drain that was acknowledged.
#[test]
fn an_old_copy_of_a_drain_order_changes_nothing() {
    let mut b = Bench::new(1);
    let order = |on, id: &str| Command::Drain(DrainWorker { name: "w0".into(), on, order_id: Some(id.into()), ..DrainWorker::default() });
    b.one(order(true, "o1"));
    b.one(order(false, "o2"));
    b.one(order(true, "o3"));
    let again = b.one(order(false, "o2"));
    assert!(matches!(again, Some(Ok(AnswerBody::DrainWorker(d))) if d.draining), "acknowledged again, with what is so now");
    assert!(b.ledger.state.tables.workers[&0].draining());
    assert!(matches!(b.one(order(true, "o2")), Some(Err(CallError::Conflict { .. }))));
}

#[test]
fn occurrences_of_a_repeated_job_fall_due_in_turn_and_may_overlap() {
    let mut b = Bench::new(1);
    let repeat = Repeat { first_unix_ms: 0, interval_ms: 500, count: 3 };
    let spec = job_with("j", 1, |s| s.repeat = Some(repeat));
    let due_in_ms = 200;
    let Some(Ok(AnswerBody::SubmitJob(a))) = b.one(Command::Submit { spec, due_in_ms }) else { panic!() };
    assert!(b.plan().is_empty(), "none is due");
    b.now += 200;
    b.one(Command::Advance);
    assert_eq!(b.plan(), [(TaskId::new(a.job, 0, 0), 0)]);
    b.now += 500;
    b.one(Command::Advance);
    let second = TaskId { occurrence: 1, ..TaskId::new(a.job, 0, 0) };
    assert_eq!(b.plan(), [(second, 0)], "though the first still runs");
    b.now += 500;
    b.one(Command::Advance);
    b.plan();
    for occurrence in 0..3 {
        let a = b.id(TaskId { occurrence, ..second });
        b.facts("w0", "b1", |f| f.ended.push(EndedAttempt::new(a, Outcome::Succeeded)));
    }
    assert_eq!(b.ledger.state.job("j").unwrap().summary.state, JobState::Succeeded);
}

#[test]
fn a_good_end_of_one_member_stands_for_a_gang_that_ends_together() {
    let mut b = Bench::new(2);
    let n = b.submit(job_with("g", 2, |s| (s.steps[0].gang, s.steps[0].ends_together) = (true, true)));
    assert_eq!(b.plan().len(), 2);
    let (one, two) = (b.id(TaskId::new(n, 0, 0)), b.id(TaskId::new(n, 0, 1)));
    assert_eq!((one.number, two.number), (1, 1), "members share the number of their run");
    let workers: Vec<Name> = [one, two].map(|a| b.ledger.state.worker_name(b.attempt(a.task).unwrap().worker)).to_vec();
    b.facts(&workers[0], "b1", |f| f.ended.push(EndedAttempt::new(one, Outcome::Succeeded)));
    b.facts(&workers[1], "b1", |f| f.lost.push(two));
    assert_eq!(b.ledger.state.job("g").unwrap().summary.state, JobState::Succeeded);
}

#[test]
fn work_without_an_end_is_started_again_however_it_ends() {
    let mut b = Bench::new(2);
    let n = b.submit(job_with("l", 1, |s| (s.run_until_cancelled, s.allowed_failures) = (true, None)));
    for outcome in [Outcome::Failed, Outcome::Succeeded, Outcome::Failed, Outcome::Lapsed] {
        assert_eq!(b.plan().len(), 1, "before {outcome:?}");
        let a = b.id(TaskId::new(n, 0, 0));
        let worker = b.ledger.state.worker_name(b.attempt(a.task).unwrap().worker);
        b.facts(&worker, "b1", |f| f.ended.push(EndedAttempt::new(a, outcome)));
    }
    assert!(!b.ledger.state.job("l").unwrap().summary.state.is_final());
}

#[test]
fn labels_near_racks_and_limits_a_worker_decide_where_tasks_go() {
    let mut b = Bench::new(0);
    for (name, rack, label) in [("w0", "r1", "a"), ("w1", "r2", "b"), ("w2", "r3", "a")] {
        let told = RegisterWorker { rack: rack.into(), labels: vec![label.into()], ..b.told(name, "b1") };
        b.one(Command::Register(told));
    }
    b.submit(job_with("labelled", 1, |s| s.steps[0].labels = vec!["b".into()]));
    assert_eq!(b.plan()[0].1, 1);
    b.submit(job_with("near", 1, |s| s.steps[0].near_rack = Some("r3".into())));
    assert_eq!(b.plan()[0].1, 2);
    b.submit(job_with("apart", 7, |s| s.steps[0].most_per_worker = 2));
    let mut on = BTreeMap::new();
    b.plan().iter().for_each(|(_, w)| *on.entry(*w).or_insert(0) += 1);
    assert_eq!(on.into_values().collect::<Vec<_>>(), [2, 2, 2], "the seventh waits");
}

#[test]
fn a_checkpoint_goes_along_with_the_next_start() {
    let mut b = Bench::new(2);
    let n = b.submit(job_with("c", 1, |s| s.steps[0].checkpoints = true));
    b.plan();
    let a = b.id(TaskId::new(n, 0, 0));
    let worker = b.ledger.state.worker_name(b.attempt(a.task).unwrap().worker);
    let end = EndedAttempt { checkpoint: Some("half".into()), ..EndedAttempt::new(a, Outcome::Stopped) };
    b.facts(&worker, "b1", |f| f.ended.push(end));
    b.plan();
    let updates = b.ledger.updates("g", 7, (0, 0), 0, true);
    let starts: Vec<_> = updates.iter().flat_map(|u| &u.starts).collect();
    assert_eq!((starts[0].attempt.number, starts[0].checkpoint.as_deref()), (2, Some("half")));
}

#[test]
fn urgent_work_that_fits_nowhere_takes_the_room_of_young_lesser_work() {
    let mut b = Bench::new(1);
    let n = b.submit(job_with("batch", 7, |s| s.urgency = Some(1)));
    b.now += 10_000;
    b.plan();
    let a = b.id(TaskId::new(n, 0, 6));
    for index in 0..7 {
        let a = b.id(TaskId::new(n, 0, index));
        b.facts("w0", "b1", |f| f.started.push(a));
    }
    b.ledger.state.tables.rules.urgent_from = 3;
    b.submit(job_with("hold", 1, |s| (s.urgency, s.steps[0].cpu_millis) = (Some(3), 2_000)));
    let PlannedRound { starts: plans, victims, .. } = b.round();
    assert!(plans.is_empty());
    assert_eq!(victims.len(), 1);
    b.now += 60_000;
    let PlannedRound { victims, .. } = b.round();
    assert!(victims.is_empty(), "what has run for long goes on: {}", a.task);
}

#[test]
fn a_lost_gateways_unproven_starts_are_stopped_at_once() {
    let mut b = Bench::new(1);
    let n = b.submit(job_with("j", 1, |_| ()));
    b.plan();
    b.one(Command::GatewayLost { name: "g".into(), instance: 7 });
    assert_eq!(b.attempt(TaskId::new(n, 0, 0)).unwrap().stop, Some(StopReason::Unproven));
}

#[test]
fn a_life_of_a_worker_that_is_over_gives_all_its_tasks_back() {
    let mut b = Bench::new(0);
    b.one(Command::Register(RegisterWorker { leased: true, ..b.told("w0", "w0") }));
    let n = b.submit(job_with("j", 2, |_| ()));
    assert!(b.plan().is_empty(), "its clock isn't known yet");
    b.facts("w0", "w0", |f| f.reachable = Some(true));
    assert_eq!(b.plan().len(), 2);
    b.facts("w0", "w0", |f| f.gone = true);
    assert!(b.attempt(TaskId::new(n, 0, 0)).is_none());
    assert!(b.ledger.state.worker("w0").is_none());
}

#[test]
fn urgent_work_waits_a_little_for_room_near_its_data() {
    let mut b = Bench::new(0);
    for (name, rack) in [("near", "r1"), ("far", "r2")] {
        b.one(Command::Register(RegisterWorker { rack: rack.into(), ..b.told(name, "b1") }));
    }
    b.ledger.state.tables.rules.urgent_from = 3;
    b.submit(job_with("batch", 8, |s| s.steps[0].near_rack = Some("r1".into())));
    assert_eq!(b.plan().len(), 8);
    let n = b.submit(job_with("hold", 1, |s| {
        s.urgency = Some(3);
        s.steps[0].near_rack = Some("r1".into());
        s.steps[0].estimate_ms = 800;
    }));
    // Lesser work doesn't slip into the rack that it waits for.
    b.submit(job_with("lesser", 8, |_| ()));
    b.ended(TaskId::new(1, 0, 0), Outcome::Succeeded);
    let near = b.ledger.state.tables.workers.iter().find(|(_, w)| w.told.rack == "r1").map(|(i, _)| *i).unwrap();
    b.ledger.state.tables.workers.get_mut(&near).unwrap().used = Room::new(8_000, 8_000);
    let round = b.round();
    assert_eq!(round.held, [TaskId::new(n, 0, 0).step_id()].into());
    assert!(round.starts.iter().flat_map(|s| &s.0).all(|(t, w)| t.job != n && *w != near), "{:?}", round.starts);
    // Its patience is a third of its estimate.
    b.now += 267;
    let round = b.round();
    assert!(round.held.is_empty());
    assert!(round.starts.iter().flat_map(|s| &s.0).any(|(t, w)| t.job == n && *w != near));
}
