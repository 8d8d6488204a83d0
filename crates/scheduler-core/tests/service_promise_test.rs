//! A job that its queue took runs on the service that the queue sent it to, also when the queue takes jobs of another service since.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;
use serde_json::{Value, json};

/// A queue that takes jobs of one service.
fn tree(service: &str) -> Value {
    json!({ "regions": { "r": { "zones": { "z1": { "queues": { "q": { "settings": { "services": [service] } } } } } } } })
}

/// A cluster whose queue `q` takes jobs of the service `s`, and its version of the fold.
fn cluster(fold: u32) -> Bench {
    let mut bench = Bench::new(1);
    bench.put_fold(fold);
    bench.configure(&tree("s"));
    bench
}

/// Guards against the fault of review case 2 on a related path: tasks of a job whose queue moved to another service waited for ever.
#[test]
fn a_job_whose_queue_moves_to_another_service_runs_where_it_was_accepted_for() {
    let mut bench = cluster(NEWEST_FOLD_VERSION);
    bench.submit(job("j", 2));
    bench.configure(&tree("moved"));
    let out = bench.plan();
    assert_eq!(out.len(), 2, "its workers are there and idle");
    // It fails there: it is tried again there, too.
    bench.started(out[0].0);
    bench.ended(out[0].0, Outcome::Stopped);
    assert_eq!(bench.plan().len(), 1);
}

/// New jobs follow the newest tree.
#[test]
fn a_queue_that_moved_takes_no_jobs_of_its_former_service() {
    let mut bench = cluster(NEWEST_FOLD_VERSION);
    bench.configure(&tree("moved"));
    let answer = bench.one(Command::Submit { spec: job("j", 1), due_in_ms: 0 });
    assert!(matches!(answer, Some(Err(CallError::Invalid { .. }))), "{answer:?}");
}

/// A start in an entry from before the newest fold is folded as it was: it was passed over.
#[test]
fn an_older_fold_passes_over_starts_of_a_moved_queue() {
    let mut bench = cluster(0);
    bench.submit(job("j", 1));
    let round = bench.round();
    bench.configure(&tree("moved"));
    for (starts, gang) in round.starts {
        bench.one(Command::Start { starts, gang });
    }
    assert!(bench.attempt(TaskId::new(bench.ledger.state.job("j").unwrap().number, 0, 0)).is_none());
}

/// `why` tells what placement does: a queue that is out of the tree still places the jobs that it took.
#[test]
fn why_says_that_a_job_whose_queue_is_out_can_be_placed() {
    let mut bench = cluster(NEWEST_FOLD_VERSION);
    bench.submit(job("j", 1));
    let other = json!({ "regions": { "r": { "zones": { "z1": { "queues": { "other": {} } } } } } });
    let put = Command::PutConfiguration { base_version: 1, change_id: "out".into(), tree: other.to_string().into_bytes(), source: None };
    assert!(matches!(bench.one(put), Some(Ok(_))));
    let reasons = bench.ledger.state.explain("j").unwrap().reasons.join("\n");
    assert!(reasons.contains("could take it"), "{reasons}");
}
