//! Callers against a cluster in simulated time.
mod honest_cluster;

use caller_stand_in::prelude::*;
use honest_cluster::HonestCluster;

fn gateways() -> Vec<Name> {
    ["g0", "g1", "g2"].map(str::to_owned).to_vec()
}

fn callers(profile: Profile, seed: u64) -> CallerModel {
    CallerModel::new(CallerSettings::new(profile, gateways(), seed), 0)
}

const MINUTE: Millis = 60_000;

fn submits(c: &HonestCluster) -> impl Iterator<Item = (Millis, usize, &JobSpec, Millis)> {
    c.sent.iter().filter_map(|(at, g, call, budget)| match call {
        CallBody::SubmitJob(s) => Some((*at, *g, &s.spec, *budget)),
        _ => None,
    })
}

#[test]
fn one_seed_is_one_run() {
    let run = |seed| {
        let mut c = HonestCluster::new(1, 0.05);
        c.run(&mut callers(Profile::Thaali, seed), 0, MINUTE);
        (c.sent, c.seen)
    };
    let a = run(7);
    assert!(a == run(7) && a.0 != run(8).0);
}

#[test]
fn the_rate_is_the_profiles_and_follows_the_factor() {
    for profile in [Profile::Thaali, Profile::Harwick] {
        let mut c = HonestCluster::new(1, 0.0);
        let mut m = callers(profile, 7);
        c.run(&mut m, 0, 2 * MINUTE);
        let usual = m.figures().jobs as f64;
        assert!((usual / (16.25 * 120.0) - 1.0).abs() < 0.1, "{usual}");
        c.feed(&mut m, 2 * MINUTE, CallerInput::Rate(2.0));
        c.run(&mut m, 2 * MINUTE, 4 * MINUTE);
        let more = m.figures().jobs as f64 - usual;
        assert!((more / usual - 2.0).abs() < 0.2, "{more} after {usual}");
        c.feed(&mut m, 4 * MINUTE, CallerInput::Rate(0.0));
        let all = m.figures().jobs;
        c.run(&mut m, 4 * MINUTE, 8 * MINUTE);
        assert_eq!(m.figures().jobs, all);
    }
}

#[test]
fn the_oracle_finds_nothing_wrong_with_an_honest_cluster_behind_a_lossy_network() {
    for (profile, seed) in [(Profile::Thaali, 1), (Profile::Harwick, 2), (Profile::Thaali, 3)] {
        let mut c = HonestCluster::new(seed, 0.1);
        let mut m = callers(profile, seed);
        c.run(&mut m, 0, 2 * MINUTE);
        c.feed(&mut m, 2 * MINUTE, CallerInput::Rate(0.0));
        c.run(&mut m, 2 * MINUTE, 5 * MINUTE);
        c.seen.push((5 * MINUTE, Observation::FinalReads));
        c.feed(&mut m, 5 * MINUTE, CallerInput::ReadAgain);
        c.run(&mut m, 5 * MINUTE, 6 * MINUTE);
        let v = c.verdict(6 * MINUTE);
        assert!(v.is_clean(), "{profile:?} {seed}: {:?}", v.examples);
        let f = m.figures();
        assert!(f.accepted > 1_500 && f.cancelled > 30 && f.seen_final > 300, "{f:?}");
        assert_eq!(f.jobs, f.accepted + f.errors + f.given_up);
        assert_eq!(m.open_calls(), 0);
    }
}

#[test]
fn a_lost_answer_is_followed_by_the_same_job_elsewhere_until_the_budget_is_spent() {
    let mut c = HonestCluster::new(1, 1.0);
    let mut m = callers(Profile::Thaali, 7);
    c.run(&mut m, 0, MINUTE);
    let mut by: BTreeMap<&str, Vec<(Millis, usize, &JobSpec, Millis)>> = BTreeMap::new();
    for s in submits(&c) {
        by.entry(&s.2.name).or_default().push(s);
    }
    assert!(by.len() > 800);
    assert!(by.values().any(|v| v.len() > 3), "some are tried often");
    for v in by.values() {
        assert!(v.windows(2).all(|w| w[0].1 != w[1].1 && w[0].2 == w[1].2 && w[0].0 + w[0].3 <= w[1].0), "{v:?}");
        assert!(v.iter().all(|s| s.0 + s.3 <= v[0].0 + 4_000) && v.len() <= 7);
    }
    assert_eq!(m.figures().accepted, 0);
    assert!(m.figures().given_up > 800 && c.given_up.len() as u64 >= m.figures().given_up);
    let told = c.seen.iter().filter(|(_, o)| matches!(o, Observation::JobSent { .. })).count();
    assert_eq!(told, submits(&c).count(), "every send is on record");
}

#[test]
fn hints_are_kept_and_a_hint_past_the_budget_ends_the_job() {
    let run = |retry_after_ms| {
        let mut c = HonestCluster::new(1, 0.0);
        c.error = Some(CallError::Shed { limit: "inbox".into(), retry_after_ms });
        c.run(&mut callers(Profile::Harwick, 7), 0, MINUTE);
        c
    };
    let c = run(1_000);
    let mut last: BTreeMap<&str, Millis> = BTreeMap::new();
    let mut again = 0;
    for (at, _, spec, _) in submits(&c) {
        if let Some(before) = last.insert(&spec.name, at) {
            assert!(at >= before + 1_000, "{}", spec.name);
            again += 1;
        }
    }
    assert!(again > 800);
    let c = run(4_000);
    let names: BTreeSet<&str> = submits(&c).map(|s| s.2.name.as_str()).collect();
    assert_eq!(names.len(), submits(&c).count());
}

#[test]
fn accepted_jobs_are_read_through_other_gateways_until_they_are_final() {
    let mut c = HonestCluster::new(1, 0.0);
    let mut m = callers(Profile::Thaali, 7);
    c.run(&mut m, 0, MINUTE);
    let by: BTreeMap<&str, usize> = submits(&c).map(|(_, g, s, _)| (s.name.as_str(), g)).collect();
    let mut last = BTreeMap::new();
    let reads = c.seen.iter().filter_map(|(_, o)| match o {
        Observation::JobSeen { name, state, through, .. } => Some((name.as_str(), *state, through.as_str())),
        _ => None,
    });
    // A second send may come through any gateway, so that only jobs sent once tell.
    let once = |n: &str| submits(&c).filter(|s| s.2.name == n).count() == 1;
    for (name, state, through) in reads {
        assert!(!once(name) || gateways()[by[name]] != through, "{name}");
        assert!(!last.insert(name, state).is_some_and(JobState::is_final), "{name} is read on after its end");
    }
    assert!(last.len() > 200 && last.values().filter(|s| s.is_final()).count() > 150);
}

#[test]
fn what_runs_until_cancelled_is_cancelled_even_when_its_acceptance_is_unknown() {
    let mut c = HonestCluster::new(3, 0.4);
    let mut s = CallerSettings::new(Profile::Harwick, gateways(), 7);
    s.rate = 4.0;
    let mut m = CallerModel::new(s, 0);
    c.run(&mut m, 0, MINUTE);
    c.feed(&mut m, MINUTE, CallerInput::Rate(0.0));
    c.run(&mut m, MINUTE, 10 * MINUTE);
    let lasting: BTreeSet<&str> = submits(&c).filter(|s| s.2.run_until_cancelled).map(|s| s.2.name.as_str()).collect();
    let cancels: BTreeSet<&str> = c
        .sent
        .iter()
        .filter_map(|(_, _, call, _)| match call {
            CallBody::CancelJob(c) => Some(c.name.as_str()),
            _ => None,
        })
        .collect();
    assert!(lasting.len() > 30 && lasting.is_subset(&cancels));
    assert!(m.figures().given_up > 0);
}

#[test]
fn crowds_come_and_go_when_told_to() {
    let mut c = HonestCluster::new(1, 0.0);
    let mut m = callers(Profile::Thaali, 7);
    c.feed(&mut m, 0, CallerInput::Rate(0.0));
    c.feed(&mut m, 0, CallerInput::Burst { stream: "plan".into(), jobs: 200, times_tasks: 10 });
    assert_eq!(c.sent.len(), 200);
    assert!(submits(&c).all(|s| s.2.steps.iter().all(|s| (30..=80).contains(&s.tasks))));
    c.run(&mut m, 0, 2_000);
    c.feed(&mut m, 2_000, CallerInput::CancelSome(0.5));
    c.run(&mut m, 2_000, 5 * MINUTE);
    assert!((80..130).contains(&m.figures().cancelled), "{:?}", m.figures());
    assert!(c.verdict(5 * MINUTE).is_clean() && m.open_calls() == 0);
}

#[test]
fn an_answer_after_its_time_is_still_put_on_record() {
    let mut m = callers(Profile::Thaali, 7);
    let due = m.next_due().unwrap();
    let effects = m.step(due, CallerInput::Tick);
    let Some(CallerEffect::Send { ticket, call: CallBody::SubmitJob(s), .. }) = effects.get(1) else { panic!("{effects:?}") };
    m.step(due + 10_000, CallerInput::Tick);
    let answer = JobAccepted { name: s.spec.name.clone(), job: 1, state: JobState::Waiting, already: false };
    let late = CallerInput::Answered { ticket: *ticket, result: Ok(AnswerBody::SubmitJob(answer.clone())) };
    let effects = m.step(due + 10_000, late.clone());
    let wanted = CallerEffect::Observe(Observation::JobAnswered { name: answer.name.clone(), answer: Ok(answer) });
    assert!(effects.contains(&wanted), "{effects:?}");
    assert!(!m.step(due + 10_000, late).contains(&wanted), "once is enough");
}

#[test]
fn shares_do_what_they_say_and_every_job_is_one_that_can_be_accepted() {
    for profile in [Profile::Thaali, Profile::Harwick, Profile::Target] {
        let mut s = CallerSettings::new(profile, gateways(), 7);
        (s.timed_share, s.impossible_share, s.urgent_share, s.failing_share) = (0.5, 0.2, 0.7, 0.1);
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        let streams = profile.streams(8_200);
        let jobs: Vec<JobSpec> = (0..6_000).map(|i| streams[i % streams.len()].job(format!("j{i}"), &s, 5_000, &mut rng)).collect();
        let share = |fits: &dyn Fn(&JobSpec) -> bool| jobs.iter().filter(|j| fits(j)).count() as f64 / jobs.len() as f64;
        assert!(jobs.iter().all(|j| j.faults().is_empty()));
        assert!((share(&|j| j.start_after_ms.is_some() || j.not_before_unix_ms.is_some_and(|t| t > 5_000)) - 0.5).abs() < 0.05);
        assert!((share(&|j| j.urgency.is_none()) - 0.7).abs() < 0.05);
        assert!((share(&|j| j.steps.iter().any(|s| s.payload.0["outcome"] == "failed")) - 0.1).abs() < 0.03);
        let impossible =
            |j: &JobSpec| j.steps.iter().any(|s| s.kinds == ["no-such-kind"] || s.memory_mb > 1_000_000 || s.cpu_millis >= 16_000);
        assert!((share(&impossible) - 0.2).abs() < 0.03);
    }
}

#[test]
fn the_target_starts_35_tasks_a_second_over_310_queues_and_keeps_8200_running() {
    let s = CallerSettings { impossible_share: 0.0, ..CallerSettings::new(Profile::Target, gateways(), 7) };
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (mut starts, mut running, mut queues, mut largest) = (0.0, 0.0, BTreeSet::new(), 0);
    const JOBS: u32 = 20_000;
    for stream in Profile::Target.streams(8_200) {
        for i in 0..JOBS {
            let j = stream.job(format!("j{i}"), &s, 0, &mut rng);
            let per_second = stream.per_second / f64::from(JOBS) * f64::from(j.steps[0].tasks);
            let ms = match stream.cancelled_after_ms {
                Some((a, b)) => (a + b) / 2,
                None => j.steps[0].payload.0["run_ms"].as_u64().unwrap(),
            };
            starts += per_second;
            running += per_second * ms as f64 / 1_000.0;
            largest = largest.max(if j.steps[0].gang { j.steps[0].tasks } else { 0 });
            queues.insert(j.queue);
        }
    }
    assert!((starts / 35.0 - 1.0_f64).abs() < 0.03, "{starts}");
    assert!((running / 8_200.0 - 1.0_f64).abs() < 0.05, "{running}");
    assert_eq!((largest, queues.len()), (64, 310));
    assert!(queues.contains("team-000") && queues.contains("team-309"));
}

#[test]
fn any_answers_in_any_order_leave_no_call_open_for_ever() {
    type Step = (u16, u8, u8);
    bolero::check!().with_iterations(500).with_type::<(u64, Vec<Step>)>().for_each(|(seed, steps)| {
        let mut m = callers(Profile::Thaali, *seed);
        let (mut now, mut tickets) = (0, Vec::new());
        let take = |effects: Vec<CallerEffect>, tickets: &mut Vec<(u64, CallBody)>| {
            for e in effects {
                if let CallerEffect::Send { ticket, call, time_budget_ms, .. } = e {
                    assert!(time_budget_ms > 0 && time_budget_ms <= 4_000);
                    tickets.push((ticket, call));
                }
            }
        };
        for (gap, which, what) in steps {
            now += Millis::from(*gap % 500);
            let at = usize::from(*which) % tickets.len().max(1);
            let input = match (tickets.get(at).cloned(), what % 4) {
                (None, _) | (_, 0) => CallerInput::Tick,
                (Some((ticket, _)), 1) => CallerInput::Lost { ticket },
                (Some((ticket, _)), 2) => CallerInput::Answered { ticket, result: Err(CallError::NoLeader { retry_after_ms: 100 }) },
                (Some((ticket, call)), _) => {
                    let name = match call {
                        CallBody::SubmitJob(s) => s.spec.name,
                        CallBody::GetJob(g) => g.name,
                        _ => String::new(),
                    };
                    let a = JobAccepted { name, job: 1, state: JobState::Waiting, already: false };
                    CallerInput::Answered { ticket, result: Ok(AnswerBody::SubmitJob(a)) }
                }
            };
            take(m.step(now, input), &mut tickets);
        }
        take(m.step(now, CallerInput::Rate(0.0)), &mut tickets);
        // Nobody answers any more. An accepted job may be sent once more up to 3 s later, for the 4 s of its caller:
        // after that no job is sent, however long one waits; only cancels and reads come anew.
        let (last, horizon) = (now + 3_000 + 4_000, now + 30_000);
        while let Some(t) = m.next_due().filter(|t| *t <= horizon) {
            let before = tickets.len();
            take(m.step(t.max(now), CallerInput::Tick), &mut tickets);
            assert!(t < last || !tickets[before..].iter().any(|(_, c)| matches!(c, CallBody::SubmitJob(_))), "at {t} after {now}");
        }
    });
}
