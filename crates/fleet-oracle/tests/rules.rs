//! Each rule but those on gangs and configurations, broken on purpose and kept.

mod scene;

use fleet_oracle::prelude::*;
use scene::*;

#[test]
fn job_disappeared() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.shown(200, "j", JobState::Waiting);
    s.absent(5_000, "j", "g1");
    s.absent(5_100, "j", "g1");
    s.shown(5_200, "j", JobState::Waiting);
    s.fires(Rule::JobDisappeared);
}

#[test]
fn job_disappeared_when_a_resend_is_taken_as_new() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.accept(900, 2, job("j", 1));
    s.fires(Rule::JobDisappeared);
}

#[test]
fn job_final_without_cause() {
    for state in [JobState::Failed, JobState::Cancelled, JobState::Succeeded] {
        let mut s = Scene::new();
        s.accept(100, 1, JobSpec { allowed_failures: Some(1), ..job("j", 1) });
        s.run(200, "w1", "j", "1.0.0.1", Outcome::Failed);
        s.shown(400, "j", state);
        s.shown(500, "j", state);
        s.fires(Rule::JobFinalWithoutCause);
    }
}

#[test]
fn job_not_visible() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.absent(2_000, "j", "g1");
    s.absent(3_200, "j", "g1");
    s.shown(3_300, "j", JobState::Waiting);
    s.fires(Rule::JobNotVisible);
}

#[test]
fn task_ran_twice_at_once() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.start(200, "w1", "j", "1.0.0.1");
    s.start(300, "w2", "j", "1.0.0.2");
    s.fires(Rule::TaskRanTwiceAtOnce);
}

#[test]
fn task_started_after_success() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.run(200, "w1", "j", "1.0.0.1", Outcome::Succeeded);
    s.run(400, "w2", "j", "1.0.0.2", Outcome::Stopped);
    s.fires(Rule::TaskStartedAfterSuccess);
}

fn two_steps() -> JobSpec {
    let mut spec = job("j", 2);
    spec.steps.push(StepSpec { name: "then".into(), after: vec!["main".into()], tasks: 1, ..spec.steps[0].clone() });
    spec
}

#[test]
fn step_before_dependency() {
    let mut s = Scene::new();
    s.accept(100, 1, two_steps());
    s.run(200, "w1", "j", "1.0.0.1", Outcome::Succeeded);
    s.start(400, "w1", "j", "1.1.0.1");
    s.fires(Rule::StepBeforeDependency);
}

#[test]
fn timed_job_early() {
    for spec in [JobSpec { not_before_unix_ms: Some(5_000), ..job("j", 1) }, JobSpec { start_after_ms: Some(4_900), ..job("j", 1) }] {
        let mut s = Scene::new();
        s.accept(100, 1, spec.clone());
        s.start(4_990, "w1", "j", "1.0.0.1");
        s.fires(Rule::TimedJobEarly);
        let mut s = Scene::new();
        s.accept(100, 1, spec);
        s.start(5_000, "w1", "j", "1.0.0.1");
        s.clean();
    }
}

#[test]
fn room_exceeded() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 5));
    for i in 0..5 {
        s.start(200 + i, "w1", "j", &format!("1.0.{i}.1"));
    }
    s.fires(Rule::RoomExceeded);
}

#[test]
fn wrong_kind_or_service() {
    let mut kinds = job("j", 1);
    kinds.steps[0].kinds = vec!["old".into()];
    for spec in [kinds, JobSpec { service: "tests".into(), ..job("j", 1) }] {
        let mut s = Scene::new();
        s.accept(100, 1, spec);
        s.start(200, "w1", "j", "1.0.0.1");
        s.fires(Rule::WrongKindOrService);
    }
}

#[test]
fn a_kind_that_the_queue_may_not_use() {
    let restricted = |id: &str| {
        let kinds = vec![QueueKinds { zone: "north".into(), queue: "holds".into(), kinds: vec!["old".into()] }];
        Observation::ConfigurationKinds { change_id: id.into(), kinds }
    };
    for (at, wrong) in [(2_010, false), (2_111, true)] {
        let mut s = Scene::new();
        s.accept(0, 1, job("j", 2));
        s.see(90, restricted("c1"));
        s.change(100, 0, "c1", Ok(1));
        s.start(at, "w1", "j", "1.0.0.1");
        s.start(at, "w2", "j", "1.0.1.1");
        if wrong { s.fires(Rule::WrongKindOrService) } else { assert_eq!(s.clean().tasks_run, 2) }
    }
    // A newer change is under way and may be in force.
    let mut s = Scene::new();
    s.accept(0, 1, job("j", 1));
    s.see(90, restricted("c1"));
    s.change(100, 0, "c1", Ok(1));
    s.change(3_000, 1, "c2", Err(CallError::TimeBudgetSpent { retry_after_ms: 1 }));
    s.start(9_000, "w1", "j", "1.0.0.1");
    s.clean();
}

#[test]
fn retried_past_allowed() {
    let mut s = Scene::new();
    s.accept(100, 1, JobSpec { allowed_failures: Some(1), ..job("j", 1) });
    s.run(200, "w1", "j", "1.0.0.1", Outcome::Failed);
    s.run(400, "w1", "j", "1.0.0.2", Outcome::Failed);
    s.run(600, "w1", "j", "1.0.0.3", Outcome::Succeeded);
    s.fires(Rule::RetriedPastAllowed);
}

fn drained() -> Scene {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 2));
    s.see(500, Observation::DrainSent { worker: "w1".into(), on: true });
    s.see(600, Observation::DrainAnswered { worker: "w1".into(), on: true });
    s.start(2_600, "w1", "j", "1.0.0.1");
    s
}

#[test]
fn start_on_draining_worker() {
    let mut s = drained();
    s.late_start(550, 2_601, "w1", "j", "1.0.1.1");
    s.fires(Rule::StartOnDrainingWorker);
}

#[test]
fn no_stop_could_reach_the_draining_worker() {
    let mut s = drained();
    s.see(2_600, Observation::WorkerUnreachable { worker: "w1".into(), on: true });
    s.see(9_000, Observation::WorkerUnreachable { worker: "w1".into(), on: false });
    s.late_start(550, 9_100, "w1", "j", "1.0.1.1");
    assert_eq!(s.clean().starts_out_of_reach, 1);
}

#[test]
fn start_in_evacuated_zone() {
    let order = |on: bool, id: &str| (Name::from("south"), on, id.to_owned());
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 3));
    for (at, (zone, on, order_id)) in [(500, order(true, "e1")), (20_000, order(false, "e2"))] {
        if !on {
            s.start(5_510, "w2", "j", "1.0.0.1");
            s.start(5_511, "w2", "j", "1.0.1.1");
        }
        s.see(at, Observation::EvacuationSent { zone: zone.clone(), on, order_id: order_id.clone() });
        s.see(at + 10, Observation::EvacuationAnswered { zone, on, order_id });
    }
    s.start(29_000, "w2", "j", "1.0.2.1");
    s.fires(Rule::StartInEvacuatedZone);
}

#[test]
fn start_after_cancel() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 2));
    s.cancel(500, "j");
    s.run(3_510, "w1", "j", "1.0.0.1", Outcome::Stopped);
    s.run(3_611, "w1", "j", "1.0.1.1", Outcome::Stopped);
    s.fires(Rule::StartAfterCancel);
}

#[test]
fn acknowledged_lost() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.see(9_000, Observation::FinalReads);
    s.absent(9_001, "j", "g1");
    s.fires(Rule::AcknowledgedLost);
    let mut s = Scene::new();
    s.change(100, 0, "c1", Ok(1));
    s.see(9_000, Observation::FinalReads);
    s.config(9_001, "g1", 0, "none");
    s.fires(Rule::AcknowledgedLost);
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    s.cancel(500, "j");
    s.shown(4_000, "j", JobState::Waiting);
    s.fires(Rule::AcknowledgedLost);
}

#[test]
fn service_outage() {
    let mut s = Scene::new();
    s.accept(0, 1, job("j", 1));
    for i in 0..13 {
        s.see(1_000 * (i + 1), Observation::JobSent { spec: job(&format!("k{i}"), 1) });
    }
    s.accept(13_500, 2, job("l", 1));
    s.fires(Rule::ServiceOutage);
}

#[test]
fn nothing_fires_on_a_clean_run() {
    let mut s = Scene::new();
    s.change(10, 0, "c1", Ok(1));
    s.change(10, 0, "c2", Err(raced()));
    s.change(30, 0, "c1", Ok(1));
    s.config(2_500, "g1", 1, "c1");
    // A lost answer, resent and told again; nobody sends for a long time after.
    s.see(3_000, Observation::JobSent { spec: two_steps() });
    s.accept(3_100, 1, two_steps());
    s.accept(3_200, 1, two_steps());
    s.shown(3_300, "j", JobState::Waiting);
    // Stopped and tried again, lost with its worker and tried again, an outcome lost and tried again.
    s.run(3_400, "w1", "j", "1.0.0.1", Outcome::Stopped);
    s.start(3_600, "w1", "j", "1.0.0.2");
    s.run(3_610, "w1", "j", "1.0.1.1", Outcome::Succeeded);
    let (worker, boot, job_name): (Name, String, Name) = ("w1".into(), "b1".into(), "j".into());
    let (a, b) = ("1.0.0.2".parse().unwrap(), "1.0.1.1".parse().unwrap());
    s.see(4_000, Observation::RunLost { worker: worker.clone(), boot: boot.clone(), attempt: a, job_name: job_name.clone() });
    s.see(4_000, Observation::ResultLost { worker, boot, attempt: b, job_name, outcome: Outcome::Succeeded });
    s.run(4_100, "w2", "j", "1.0.0.3", Outcome::Succeeded);
    s.run(4_100, "w2", "j", "1.0.1.2", Outcome::Succeeded);
    s.run(4_300, "w2", "j", "1.1.0.1", Outcome::Succeeded);
    s.shown(4_500, "j", JobState::Succeeded);
    // Cancelled at once, and a job that fails for good.
    s.accept(40_000, 2, job("k", 1));
    s.start(40_100, "w1", "k", "2.0.0.1");
    s.cancel(40_200, "k");
    s.end(40_300, "w1", "k", "2.0.0.1", Outcome::Stopped);
    s.shown(40_400, "k", JobState::Cancelled);
    s.accept(40_500, 3, job("f", 1));
    s.run(40_600, "w1", "f", "3.0.0.1", Outcome::Failed);
    s.shown(40_800, "f", JobState::Failed);
    // Drained, then used again though the answer to that was lost.
    s.see(41_000, Observation::DrainSent { worker: "w1".into(), on: true });
    s.see(41_050, Observation::DrainAnswered { worker: "w1".into(), on: true });
    s.see(50_000, Observation::DrainSent { worker: "w1".into(), on: false });
    s.accept(54_990, 4, job("m", 1));
    s.run(55_040, "w1", "m", "4.0.0.1", Outcome::Succeeded);
    // Past its retention, the name is free for a new job.
    s.absent(70_000, "j", "g1");
    s.accept(70_100, 9, two_steps());
    s.run(70_200, "w2", "j", "9.0.0.1", Outcome::Succeeded);
    let f = s.clean();
    assert_eq!((f.jobs_accepted, f.jobs_finished, f.jobs_cancelled, f.jobs_failed), (5, 2, 1, 1));
    assert_eq!((f.tasks_run, f.unneeded, f.runs_lost), (10, 4, 1));
    assert_eq!((f.start_ms.count, f.start_ms.max, f.cancel_ms.max, f.drain_ms.max), (5, 290, 100, 50));
}

#[test]
fn a_late_resend_of_a_past_order_changes_nothing() {
    let mut s = Scene::new();
    s.accept(100, 1, job("j", 1));
    for (at, on, id) in [(200, true, "e1"), (300, false, "e2"), (400, true, "e1")] {
        s.see(at, Observation::EvacuationSent { zone: "north".into(), on, order_id: id.into() });
        s.see(at, Observation::EvacuationAnswered { zone: "north".into(), on, order_id: id.into() });
    }
    s.start(9_000, "w1", "j", "1.0.0.1");
    s.clean();
}

#[test]
fn observations_survive_json() {
    let o = Observation::JobAnswered { name: "j".into(), answer: Err(raced()) };
    let line = RecordedObservation { number: 3, at: 9, observation: o };
    let text = serde_json::to_string(&line).unwrap();
    assert_eq!(serde_json::from_str::<RecordedObservation>(&text).unwrap(), line);
}
