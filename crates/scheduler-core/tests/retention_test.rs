//! A caller may ask for its job for as long as its queue said when the job was accepted, whatever becomes of the queue.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;
use serde_json::{Value, json};

/// Retention of the queue as jobs are accepted.
const RETENTION_S: u64 = 600;
/// Another one, far above what is kept of any job.
const LONGER_S: u64 = 1_200;
/// A queue of that name with that retention, where jobs are accepted.
fn tree(queue: &str, retention_s: u64) -> Value {
    let queues = json!({ queue: { "settings": { "services": ["s"], "retention_s": retention_s } } });
    json!({ "regions": { "r": { "zones": { "z1": { "queues": queues } } } } })
}

/// The same fleet without the queue; another one stays.
fn without_queue() -> Value {
    tree("other", RETENTION_S)
}

/// A queue that takes no new jobs.
fn disabled() -> Value {
    let queues = json!({ "q": { "settings": { "enabled": false } } });
    json!({ "regions": { "r": { "zones": { "z1": { "queues": queues } } } } })
}

/// A cluster with the queue `q`.
fn cluster() -> Bench {
    let mut bench = Bench::new(1);
    bench.put_newest_fold();
    bench.configure(&tree("q", RETENTION_S));
    bench
}

fn pass(bench: &mut Bench, seconds: u64) {
    bench.now += seconds * 1_000;
    bench.one(Command::Advance);
}

/// Whether the job is known, and sent again is the same one.
fn is_kept(bench: &mut Bench) -> bool {
    let known = bench.ledger.state.get_job("j").is_ok();
    if known {
        let again = bench.one(Command::Submit { spec: job("j", 1), due_in_ms: 0 });
        assert!(matches!(again, Some(Ok(AnswerBody::SubmitJob(a))) if a.already), "sent again it would run twice");
    }
    known
}

/// A job is accepted, runs, and ends beneath these changes: those before its end, and those after. It is kept for `kept_s` and no longer.
fn assert_kept(before_end: &[Value], after_end: &[Value], kept_s: u64) {
    let mut bench = cluster();
    bench.submit(job("j", 1));
    let (task, _) = bench.plan()[0];
    bench.started(task);
    before_end.iter().for_each(|tree| bench.configure(tree));
    bench.ended(task, Outcome::Succeeded);
    after_end.iter().for_each(|tree| bench.configure(tree));
    pass(&mut bench, kept_s - 5);
    assert!(is_kept(&mut bench), "forgotten early: {before_end:?} {after_end:?}");
    assert_eq!(bench.state("j"), JobState::Succeeded);
    pass(&mut bench, 10);
    assert!(!is_kept(&mut bench), "never forgotten: {before_end:?} {after_end:?}");
}

/// Guards against LOST of review case 2: a job that ended while its queue was out of the tree was forgotten after the least time, and the
/// same job sent again ran a second time.
#[test]
fn a_job_that_ends_while_its_queue_is_out_is_kept_as_long_as_promised() {
    assert_kept(&[without_queue()], &[tree("q", RETENTION_S)], RETENTION_S);
}

/// Guards against the same fault: the queue never comes back, or its jobs go on under another name.
#[test]
fn a_job_whose_queue_is_gone_renamed_or_disabled_is_kept_as_long_as_promised() {
    assert_kept(&[without_queue()], &[], RETENTION_S);
    assert_kept(&[tree("renamed", RETENTION_S)], &[], RETENTION_S);
    assert_kept(&[disabled()], &[], RETENTION_S);
    assert_kept(&[without_queue(), tree("q", RETENTION_S)], &[without_queue()], RETENTION_S);
}

/// A promise holds though less is promised to later jobs; where more is, as the job ends, it is kept for longer.
#[test]
fn a_retention_that_is_lowered_binds_later_jobs_alone() {
    assert_kept(&[tree("q", 1)], &[], RETENTION_S);
    assert_kept(&[], &[tree("q", 1)], RETENTION_S);
    assert_kept(&[tree("q", LONGER_S)], &[], LONGER_S);
}

/// Work without an end of its own, and work that is done at several times, is kept from its last end on.
#[test]
fn lasting_and_repeated_jobs_are_kept_as_long_as_promised() {
    for lasting in [true, false] {
        let mut bench = cluster();
        let mut spec = job("j", 1);
        spec.run_until_cancelled = lasting;
        spec.repeat = (!lasting).then_some(Repeat { first_unix_ms: 0, interval_ms: 60_000, count: 2 });
        bench.submit(spec);
        bench.configure(&without_queue());
        pass(&mut bench, 120);
        for (task, _) in bench.plan() {
            bench.started(task);
            if !lasting {
                bench.ended(task, Outcome::Succeeded);
            }
        }
        if lasting {
            bench.one(Command::Cancel(CancelJob { name: "j".into() }));
            bench.ended(TaskId::new(bench.ledger.state.job("j").unwrap().number, 0, 0), Outcome::Stopped);
        }
        assert!(bench.ledger.state.job("j").unwrap().is_over(), "lasting: {lasting}");
        pass(&mut bench, RETENTION_S - 5);
        assert!(bench.ledger.state.job("j").is_some(), "lasting: {lasting}");
        pass(&mut bench, 10);
        assert!(bench.ledger.state.job("j").is_none(), "lasting: {lasting}");
    }
}

/// What was promised stands in the snapshot: a scheduler that starts from one forgets at the same time as the others.
#[test]
fn a_promise_outlives_a_snapshot() {
    let mut bench = cluster();
    bench.submit(job("j", 1));
    let (task, _) = bench.plan()[0];
    bench.started(task);
    bench.configure(&without_queue());
    bench.ledger = Ledger::new(ClusterState::from_bytes(&bench.ledger.state.to_bytes()).unwrap());
    bench.ended(task, Outcome::Succeeded);
    pass(&mut bench, RETENTION_S - 5);
    assert!(is_kept(&mut bench));
}

/// Jobs from before the promise was kept in the log: the newest fold gives them what the zone passes down where their queue is out.
#[test]
fn a_job_of_an_older_fold_whose_queue_is_out_is_kept_as_its_zone_says() {
    let mut bench = Bench::new(1);
    bench.configure(&tree("q", RETENTION_S));
    bench.submit(job("j", 1));
    let (task, _) = bench.plan()[0];
    bench.started(task);
    bench.put_newest_fold();
    let mut tree = without_queue();
    tree["settings"] = json!({ "retention_s": LONGER_S });
    bench.configure(&tree);
    bench.ended(task, Outcome::Succeeded);
    pass(&mut bench, LONGER_S - 5);
    assert!(is_kept(&mut bench));
    pass(&mut bench, 10);
    assert!(!is_kept(&mut bench));
}

/// The same entries give the same state whichever build folds them: until the newer fold is in force, the older one counts.
#[test]
fn entries_from_before_a_version_of_the_fold_are_folded_as_they_were() {
    let mut bench = Bench::new(1);
    bench.configure(&tree("q", RETENTION_S));
    bench.submit(job("j", 1));
    assert_eq!(bench.ledger.state.job("j").unwrap().promised_retention_ms, None);
    let (task, _) = bench.plan()[0];
    bench.started(task);
    bench.configure(&without_queue());
    bench.ended(task, Outcome::Succeeded);
    let least = 60 * bench.ledger.state.tables.rules.hold_interval_ms;
    let job = bench.ledger.state.job("j").unwrap();
    assert_eq!(job.forget_at, job.summary.ended_at_ms.unwrap() + least);
}
