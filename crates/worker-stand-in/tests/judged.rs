//! Workers that err at random, orders from a small scheduler that keeps the contract, and the oracle as the judge:
//! no rule fires. The same scheduler with one habit wrong makes just that rule fire.

use worker_stand_in::prelude::*;

const TASKS: u32 = 12;
const WORKERS: usize = 3;

/// What the scheduler gets wrong.
#[derive(Clone, Copy, PartialEq)]
enum Wrong {
    Nothing,
    /// Takes an unanswered start for one that never happened.
    TriesAgainUnproven,
    /// Doesn't count errors.
    TriesForever,
}

/// One task as the scheduler knows it.
#[derive(Clone, Default)]
struct Known {
    number: u16,
    failed: u32,
    done: bool,
    /// The worker, and the boot on which it is proven to run.
    out: Option<(usize, Option<String>)>,
}

fn random_behaviour(rng: &mut ChaCha8Rng, now: Millis) -> Behaviour {
    Behaviour {
        late_start_ms: (0, rng.random_range(0..400)),
        lost_answer_ratio: rng.random_range(0.0..0.5),
        fail_ratio: rng.random_range(0.0..0.7),
        slow_factor: rng.random_range(0.5..3.0),
        frozen_until: rng.random_bool(0.2).then(|| now + rng.random_range(100..4_000)),
        cut_off: rng.random_bool(0.3),
        ..Behaviour::default()
    }
}

fn judge(seed: u64, wrong: Wrong) -> Verdict {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut oracle = Oracle::new(OracleBounds::default());
    let new =
        |i: usize| WorkerModel::new(WorkerIdentity::example(&format!("w{i}")).registration("b0"), Behaviour::default(), seed + i as u64);
    let mut workers: Vec<WorkerModel> = (0..WORKERS).map(new).collect();
    let spec = JobSpec { allowed_failures: Some(2), ..JobSpec::single("j", "holds", "booking", TASKS, 1_000, 1_000) };
    oracle.observe(0, Observation::JobSent { spec });
    let accepted = JobAccepted { name: "j".into(), job: 1, state: JobState::Waiting, already: false };
    oracle.observe(0, Observation::JobAnswered { name: "j".into(), answer: Ok(accepted) });
    let mut tasks = vec![Known::default(); TASKS as usize];
    let (mut token, mut outbox) = (0, Vec::new());
    for now in (0..60_000u64).step_by(10) {
        if now.is_multiple_of(700) {
            let w = rng.random_range(0..WORKERS);
            // The last part of the run is calm, so that all can end.
            let calm = now > 40_000;
            let b = if calm { Behaviour::default() } else { random_behaviour(&mut rng, now) };
            outbox.push((w, WorkerInput::Behave(b)));
            if !calm && rng.random_bool(0.2) {
                outbox.push((w, WorkerInput::Die { boot_id: format!("b{now}"), away_ms: rng.random_range(0..900) }));
            }
        }
        for (i, t) in tasks.iter_mut().enumerate().filter(|(_, t)| !t.done && (wrong == Wrong::TriesForever || t.failed <= 2)) {
            let attempt = AttemptId { task: format!("1.0.{i}").parse().unwrap(), number: t.number };
            token += 1;
            if let Some((w, proven)) = &t.out {
                let w = *w;
                // Unproven for long: ask for proof. A stop is safe at any time.
                if proven.is_none() && (now + 70 * i as Millis).is_multiple_of(1_500) {
                    if wrong == Wrong::TriesAgainUnproven {
                        t.out = None;
                    } else {
                        outbox.push((w, WorkerInput::Stop { token, order: StopOrder { attempt, worker: format!("w{w}"), fence: 0 } }));
                    }
                }
            } else {
                let w = rng.random_range(0..WORKERS);
                t.number += 1;
                t.out = Some((w, None));
                let order = StartOrder {
                    checkpoint: None,
                    lease_until_ms: None,
                    estimate_ms: 0,
                    gang_by_ms: None,
                    attempt: AttemptId { number: t.number, ..attempt },
                    fence: 1,
                    worker: format!("w{w}"),
                    job_name: "j".into(),
                    service: "booking".into(),
                    cpu_millis: 1_000,
                    memory_mb: 1_000,
                    run_until_cancelled: false,
                    payload: serde_json::from_str(r#"{"run_ms": 2000}"#).unwrap(),
                    intended_at_ms: now,
                    time_budget_ms: 1_000,
                };
                outbox.push((w, WorkerInput::Start { token, order }));
            }
        }
        for w in 0..WORKERS {
            token += 1;
            let hold = HoldOrder {
                worker: format!("w{w}"),
                gateway: "g".into(),
                seen: 0,
                wait_ms: 0,
                acknowledged: Vec::new(),
                ..HoldOrder::default()
            };
            outbox.push((w, WorkerInput::Hold { token, order: hold }));
        }
        for (w, input) in std::mem::take(&mut outbox) {
            for e in workers[w].step(now, input) {
                match e {
                    WorkerEffect::Observe(o) => oracle.observe(now, o),
                    WorkerEffect::Answer { answer, .. } => learn(&mut tasks, w, answer),
                    WorkerEffect::Silence { .. }
                    | WorkerEffect::Refuse { .. }
                    | WorkerEffect::OtherLife { .. }
                    | WorkerEffect::MemberCame(_)
                    | WorkerEffect::MemberLeft(_)
                    | WorkerEffect::Register(_) => {}
                }
            }
        }
    }
    assert!(wrong != Wrong::Nothing || tasks.iter().all(|t| t.done || t.failed > 2), "seed {seed}: all tasks come to an end");
    let state = if tasks.iter().all(|t| t.done) { JobState::Succeeded } else { JobState::Failed };
    oracle.observe(60_000, Observation::JobSeen { name: "j".into(), state, through: "g".into(), asked_at: 60_000 });
    oracle.finish(60_000)
}

/// Takes in the proofs in an answer.
fn learn(tasks: &mut [Known], w: usize, answer: WorkerAnswer) {
    let mut prove = |attempt: AttemptId, fate: Option<Outcome>| {
        let t = &mut tasks[attempt.task.index as usize];
        if t.number != attempt.number || t.out.as_ref().is_none_or(|o| o.0 != w) {
            return;
        }
        t.out = None;
        t.failed += u32::from(fate == Some(Outcome::Failed));
        t.done |= fate == Some(Outcome::Succeeded);
    };
    match answer {
        WorkerAnswer::Start(a) if a.result == StartResult::Void => prove(a.attempt, None),
        WorkerAnswer::Stop(a) => match (a.result, a.ended) {
            (StopResult::Ended, Some(e)) => prove(a.attempt, Some(e.outcome)),
            _ => prove(a.attempt, None),
        },
        WorkerAnswer::Hold(h) => {
            h.ended.listed().iter().for_each(|e| prove(e.attempt, Some(e.outcome)));
            for (i, t) in tasks.iter_mut().enumerate() {
                let Some((_, boot)) = t.out.as_mut().filter(|o| o.0 == w) else { continue };
                if h.running.iter().any(|a| (a.task.index as usize, a.number) == (i, t.number)) {
                    *boot = Some(h.boot_id.clone());
                } else if boot.as_ref().is_some_and(|b| *b != h.boot_id) {
                    t.out = None;
                }
            }
        }
        WorkerAnswer::Start(_) => {}
    }
}

#[test]
fn nothing_fires_with_a_scheduler_that_keeps_the_contract() {
    let mut runs = (0, 0);
    for seed in 0..60 {
        let v = judge(seed, Wrong::Nothing);
        assert!(v.is_clean(), "seed {seed}: {:?}", v.examples);
        runs = (runs.0 + v.figures.tasks_run, runs.1 + v.figures.runs_lost);
    }
    // The workers did err, or this would say nothing.
    assert!(runs.0 > 60 * u64::from(TASKS) && runs.1 > 60, "{runs:?}");
}

#[test]
fn a_wrong_habit_is_found() {
    for (wrong, rule) in [(Wrong::TriesAgainUnproven, Rule::TaskRanTwiceAtOnce), (Wrong::TriesForever, Rule::RetriedPastAllowed)] {
        let found = (0..60).filter(|&s| judge(s, wrong).count(rule) > 0).count();
        assert!(found > 5, "{}: {found}", rule.name());
    }
}
