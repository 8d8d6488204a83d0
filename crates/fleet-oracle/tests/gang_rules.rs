//! Each rule on gangs, broken on purpose and kept.

mod scene;

use fleet_oracle::prelude::*;
use scene::*;

fn gang() -> JobSpec {
    let mut spec = job("j", 3);
    spec.steps[0].gang = true;
    spec
}

/// A gang of two that ends together, of which one member has ended well.
fn gang_of_which_one_has_ended_well(end: Outcome) -> Scene {
    let mut spec = gang();
    (spec.steps[0].ends_together, spec.steps[0].tasks) = (true, 2);
    let mut s = Scene::new();
    s.accept(0, 7, spec);
    s.start(100, "w1", "j", "7.0.0.1");
    s.start(110, "w2", "j", "7.0.1.1");
    s.end(500, "w1", "j", "7.0.0.1", Outcome::Succeeded);
    s.end(500, "w2", "j", "7.0.1.1", end);
    s
}

#[test]
fn a_member_started_after_the_good_end_of_its_gang() {
    let mut s = gang_of_which_one_has_ended_well(Outcome::Stopped);
    s.start(900, "w1", "j", "7.0.1.2");
    s.fires(Rule::TaskStartedAfterSuccess);
}

#[test]
fn a_gang_whose_good_ends_were_lost_may_start_again() {
    let mut s = gang_of_which_one_has_ended_well(Outcome::Stopped);
    let (worker, boot, attempt) = ("w1".into(), "b1".into(), "7.0.0.1".parse().unwrap());
    s.see(600, Observation::ResultLost { worker, boot, attempt, job_name: "j".into(), outcome: Outcome::Succeeded });
    s.start(900, "w1", "j", "7.0.0.2");
    s.start(900, "w2", "j", "7.0.1.2");
    s.end(1_300, "w1", "j", "7.0.0.2", Outcome::Succeeded);
    s.end(1_300, "w2", "j", "7.0.1.2", Outcome::Succeeded);
    s.clean();
}

#[test]
fn gang_member_alone() {
    let mut s = Scene::new();
    s.accept(100, 1, gang());
    s.start(200, "w1", "j", "1.0.0.1");
    s.start(300, "w2", "j", "1.0.1.1");
    s.fires(Rule::GangMemberAlone);
}

#[test]
fn gang_rounds_that_are_whole_or_given_back() {
    let mut s = Scene::new();
    s.accept(100, 1, gang());
    s.start(200, "w1", "j", "1.0.0.1");
    s.start(200, "w1", "j", "1.0.1.1");
    s.end(15_000, "w1", "j", "1.0.0.1", Outcome::Stopped);
    s.end(15_000, "w1", "j", "1.0.1.1", Outcome::Stopped);
    for i in 0..3 {
        s.start(16_000, "w1", "j", &format!("1.0.{i}.2"));
    }
    for (i, outcome) in [Outcome::Succeeded, Outcome::Succeeded, Outcome::Failed].into_iter().enumerate() {
        s.end(50_000, "w1", "j", &format!("1.0.{i}.2"), outcome);
    }
    s.start(51_000, "w1", "j", "1.0.2.3");
    // The last one ran failed once with none allowed: only that is wrong here.
    s.fires(Rule::RetriedPastAllowed);
}
