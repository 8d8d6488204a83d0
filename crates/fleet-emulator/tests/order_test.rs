//! Many recorders, one order of true time.

use fleet_emulator::prelude::*;

fn attempt(step: u16) -> AttemptId {
    format!("1.{step}.0.1").parse().unwrap()
}

fn started(step: u16) -> Observation {
    let (worker, boot, job_name) = ("w01".into(), "b".into(), "hold-7".into());
    Observation::RunStarted { worker, boot, attempt: attempt(step), job_name, cpu_millis: 500, memory_mb: 256, ordered_at: 10 }
}

fn ended(step: u16) -> Observation {
    let (worker, boot, job_name) = ("w01".into(), "b".into(), "hold-7".into());
    Observation::RunEnded { worker, boot, attempt: attempt(step), job_name, outcome: Outcome::Succeeded }
}

fn spec() -> JobSpec {
    let mut s = JobSpec::single("hold-7", "holds", "booking", 1, 500, 256);
    s.steps.push(StepSpec { name: "after".into(), after: vec![s.steps[0].name.clone()], ..s.steps[0].clone() });
    s
}

#[test]
fn a_start_in_the_millisecond_of_its_send_is_judged() {
    // Workers come before callers in what a fleet collects.
    let seen = true_order(vec![vec![(10, started(0)), (15, ended(0))], vec![(10, Observation::JobSent { spec: spec() })]]);
    assert_eq!(judge(seen, OracleBounds::default(), 20).figures.runs_of_unknown_jobs, 0);
}

#[test]
fn an_end_goes_before_the_start_it_allows_elsewhere() {
    let sent = vec![(5, Observation::JobSent { spec: spec() })];
    let seen = true_order(vec![vec![(20, started(1))], vec![(10, started(0)), (20, ended(0))], sent]);
    assert_eq!(judge(seen, OracleBounds::default(), 30).violations[Rule::StepBeforeDependency.name()], 0);
    // A start that truly came too early is still seen.
    let sent = vec![(5, Observation::JobSent { spec: spec() })];
    let seen = true_order(vec![vec![(19, started(1))], vec![(10, started(0)), (20, ended(0))], sent]);
    assert_eq!(judge(seen, OracleBounds::default(), 30).violations[Rule::StepBeforeDependency.name()], 1);
}

#[test]
fn each_recorder_keeps_its_own_order() {
    let own = vec![(10, Observation::FinalReads), (10, started(0)), (10, ended(0)), (11, started(1))];
    assert_eq!(true_order(vec![Vec::new(), own.clone()]), own);
}
