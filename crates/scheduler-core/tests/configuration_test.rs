//! The operators' tree, and the rules of the cluster.

mod ledger;

use ledger::{Bench, job};
use scheduler_core::prelude::*;

#[test]
fn racing_resent_and_invalid_configurations_are_answered_by_type() {
    let mut b = Bench::new(1);
    let put = |base, id: &str, text: &str| Command::PutConfiguration {
        base_version: base,
        change_id: id.into(),
        tree: text.as_bytes().to_vec(),
        source: None,
    };
    let one = r#"{"settings":{"urgency":1}}"#;
    assert!(matches!(b.one(put(0, "a", one)), Some(Ok(AnswerBody::PutConfiguration(c))) if c.version == 1 && !c.already));
    assert!(matches!(b.one(put(0, "b", r#"{"settings":{"urgency":2}}"#)), Some(Err(CallError::RacedBase { base: 0, current: 1 }))));
    assert!(matches!(b.one(put(0, "a", one)), Some(Ok(AnswerBody::PutConfiguration(c))) if c.version == 1 && c.already));
    let bad = b.one(put(1, "c", r#"{"settings":{"urgency":99,"nope":1}}"#));
    assert!(matches!(bad, Some(Err(CallError::Invalid { faults })) if faults.len() == 2 && faults[0].path.contains("settings")));
    assert_eq!(b.ledger.state.configuration.version(), 1);
}

#[test]
fn other_rules_take_hold_of_what_is_on_the_agenda() {
    let mut b = Bench::new(1);
    b.submit(job("j", 1));
    let (t, _) = b.plan()[0];
    b.one(Command::Rules {
        hold_interval_ms: 100,
        voters: 3,
        gang_wait_ms: 800,
        first_class_ms: 60_000,
        fold_version: NEWEST_FOLD_VERSION,
    });
    assert_eq!(b.ledger.state.tables.rules.voters, 3);
    b.now += 250;
    b.one(Command::Advance);
    assert_eq!(b.attempt(t).unwrap().stop, Some(StopReason::Unproven));
    let state = ClusterState::from_bytes(&b.ledger.state.to_bytes()).unwrap();
    assert_eq!(state.tables.rules, b.ledger.state.tables.rules);
}

#[test]
fn a_queue_taken_out_of_the_tree_takes_no_new_jobs_and_its_last_ones_run() {
    let mut b = Bench::new(1);
    let tree = |queue: &str| format!(r#"{{"regions":{{"r":{{"zones":{{"z1":{{"queues":{{"{queue}":{{}}}}}}}}}}}}}}"#);
    let put = |base, id: &str, queue: &str| Command::PutConfiguration {
        base_version: base,
        change_id: id.into(),
        tree: tree(queue).into_bytes(),
        source: None,
    };
    b.one(put(0, "a", "q"));
    b.one(Command::Submit { spec: JobSpec::single("j", "q", "s", 1, 100, 100), due_in_ms: 0 });
    b.one(put(1, "b", "other"));
    let refused = b.one(Command::Submit { spec: JobSpec::single("k", "q", "s", 1, 100, 100), due_in_ms: 0 });
    assert!(matches!(refused, Some(Err(CallError::Invalid { .. }))));
    b.plan();
    assert_eq!(b.ledger.state.tables.attempts.len(), 1, "the accepted job's task starts");
}
