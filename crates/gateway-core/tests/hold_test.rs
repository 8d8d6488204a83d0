use gateway_core::prelude::*;

mod stand;
use stand::*;

/// Answers a hold and gathers what is told within the next report.
fn told(t: &mut Stand, reply: Reply<HoldAnswer>) -> Vec<WorkerFacts> {
    t.now += 60;
    let mut fx = t.held(reply);
    fx.extend(t.tick(60));
    facts(&fx)
}

fn hold_again(t: &mut Stand) -> HoldOrder {
    let fx = t.until(|e| matches!(e, GatewayEffect::Hold { .. }));
    holds(&fx).remove(0)
}

#[test]
fn one_hold_is_out_for_each_worker_and_the_next_names_what_was_seen() {
    let mut t = Stand::new();
    t.attach();
    let first = holds(&t.update(|u| u.workers = vec![worker(W, "b1", Some(ME)), worker("w2", "b", Some("g2"))]));
    assert_eq!((first.len(), first[0].seen), (1, 0));
    assert!(holds(&t.tick(1_000)).is_empty());
    let next = holds(&t.held(list("b1", 4, &[], &[])));
    assert_eq!(next[0].seen, 4);
}

#[test]
fn new_starts_and_ends_are_told_and_ends_acknowledged_once_done() {
    let mut t = Stand::attached();
    let f = told(&mut t, list("b1", 1, &[id(1)], &[id(2)]));
    assert_eq!((f[0].started[..].to_vec(), f[0].ended[0].attempt), (vec![id(1)], id(2)));
    assert!(told(&mut t, list("b1", 2, &[id(1)], &[id(2)])).is_empty());
    t.frame(SchedulerFrame::FactsDone { report: 1 });
    t.now += 60;
    let next = holds(&t.held(list("b1", 3, &[id(1)], &[id(2)])));
    assert_eq!(next[0].acknowledged, [id(2)]);
    t.now += 60;
    assert!(holds(&t.held(list("b1", 4, &[id(1)], &[])))[0].acknowledged.is_empty());
}

#[test]
fn an_attempt_is_missing_only_if_its_start_was_proven_before_the_hold_left() {
    let mut t = Stand::attached();
    t.give(id(1));
    // The proof comes while the hold is out: the answer may be older than the start.
    t.started(id(1), Reply::Answer(StartResult::Started));
    assert!(told(&mut t, list("b1", 1, &[], &[])).iter().all(|f| f.missing.is_empty()));
    // The next hold left after the proof, and asks for a whole list.
    let f = told(&mut t, list("b1", 1, &[], &[]));
    assert_eq!(f.iter().flat_map(|f| f.missing.clone()).collect::<Vec<_>>(), [id(1)]);
}

#[test]
fn a_new_holder_looks_for_what_the_log_knows_as_running() {
    let mut t = Stand::new();
    t.attach();
    t.update(|u| {
        u.workers = vec![worker(W, "b1", Some(ME))];
        u.held = vec![(W.into(), id(1)), (W.into(), id(2)), (W.into(), id(3))];
    });
    let f = told(&mut t, list("b1", 9, &[id(1)], &[id(2)]));
    assert_eq!((f[0].missing[..].to_vec(), f[0].started.len(), f[0].ended.len()), (vec![id(3)], 0, 1));
}

#[test]
fn an_older_list_proves_no_absence() {
    let mut t = Stand::attached();
    told(&mut t, list("b1", 5, &[id(1)], &[]));
    // A doubled answer of change 5, and one of change 4, to a hold that named 5.
    assert!(told(&mut t, list("b1", 5, &[], &[])).is_empty());
    assert!(told(&mut t, list("b1", 4, &[], &[])).is_empty());
    assert_eq!(t.core.counters().attempts_missing, 0);
}

#[test]
fn a_new_boot_is_told_and_an_old_one_is_not_heard_again() {
    let mut t = Stand::attached();
    told(&mut t, list("b1", 5, &[id(1)], &[]));
    let f = told(&mut t, list("b2", 1, &[], &[]));
    assert_eq!((f[0].boot_id.as_str(), f[0].reachable, f[0].missing.len()), ("b2", Some(true), 0));
    let crossed = t.core.counters().holds_crossed;
    assert!(told(&mut t, list("b1", 6, &[id(7)], &[])).is_empty());
    assert_eq!(t.core.counters().holds_crossed, crossed + 1);
}

#[test]
fn two_errors_in_a_row_are_told_and_so_is_the_next_answer() {
    let mut t = Stand::attached();
    assert!(told(&mut t, Reply::NotSent).is_empty());
    hold_again(&mut t);
    assert_eq!(told(&mut t, Reply::Unknown)[0].reachable, Some(false));
    hold_again(&mut t);
    assert!(told(&mut t, Reply::Unknown).is_empty());
    hold_again(&mut t);
    assert_eq!(told(&mut t, list("b1", 1, &[], &[]))[0].reachable, Some(true));
}

#[test]
fn a_wish_to_drain_is_told_when_it_changes() {
    let mut t = Stand::attached();
    let say = |change, draining| match list("b1", change, &[], &[]) {
        Reply::Answer(a) => Reply::Answer(HoldAnswer { draining, ..a }),
        r => r,
    };
    assert!(told(&mut t, say(1, false)).is_empty());
    assert_eq!(told(&mut t, say(2, true))[0].draining, Some(true));
    assert!(told(&mut t, say(3, true)).is_empty());
    assert_eq!(told(&mut t, say(4, false))[0].draining, Some(false));
}

#[test]
fn facts_are_told_again_on_each_channel_until_they_are_done() {
    let mut t = Stand::attached();
    assert_eq!(told(&mut t, list("b1", 1, &[id(1)], &[])).len(), 1);
    t.down();
    // First the gateway catches up with the log: a boot that is over there isn't told as a new one.
    assert!(facts(&t.attach()).is_empty());
    assert_eq!(facts(&t.update(|_| ()))[0].started, [id(1)]);
    t.frame(SchedulerFrame::FactsDone { report: 1 });
    t.down();
    t.attach();
    assert!(facts(&t.update(|_| ())).is_empty());
}

#[test]
fn a_boot_that_the_log_never_met_is_not_told_once_it_is_over() {
    let mut t = Stand::attached();
    t.down();
    // Learned without a channel: a boot between the two that the log meets.
    t.held(list("b2", 1, &[id(1)], &[id(2)]));
    t.attach();
    let fx = t.update(|u| u.workers = vec![worker(W, "b3", Some(ME))]);
    assert!(facts(&fx).is_empty(), "{fx:?}");
}

#[test]
fn of_a_past_boot_that_the_log_has_met_only_the_ends_are_told() {
    let mut t = Stand::attached();
    t.down();
    t.held(list("b1", 1, &[id(1)], &[id(2)]));
    t.attach();
    let f = facts(&t.update(|u| u.workers = vec![worker(W, "b3", Some(ME))]));
    assert_eq!((f[0].boot_id.as_str(), f[0].ended.len(), f[0].started.len()), ("b1", 1, 0));
}

#[test]
fn a_hold_that_left_before_the_newest_boot_was_known_brings_no_newer_one() {
    let mut t = Stand::attached();
    t.update(|u| u.workers = vec![worker(W, "b3", Some(ME))]);
    assert!(told(&mut t, list("b2", 1, &[id(1)], &[])).is_empty());
    assert_eq!(told(&mut t, list("b3", 1, &[id(3)], &[]))[0].started, [id(3)]);
}

#[test]
fn an_answer_of_a_boot_not_yet_known_proves_nothing_until_a_hold_shows_it() {
    let mut t = Stand::attached();
    t.give(id(1));
    let reply = Reply::Answer(StartAnswer { attempt: id(1), result: StartResult::Started, boot_id: "b2".into(), clock_ms: None });
    let fx = t.step(GatewayInput::StartAnswered { attempt: id(1), reply });
    assert!(facts(&fx).is_empty() && t.facts().is_empty());
    let f = told(&mut t, list("b2", 2, &[id(1)], &[]));
    assert_eq!((f[0].boot_id.as_str(), f[0].started[..].to_vec()), ("b2", vec![id(1)]));
}

#[test]
fn what_a_worker_says_of_draining_is_told_again_under_another_assignment() {
    let mut t = Stand::attached();
    let draining =
        |change| Reply::Answer(HoldAnswer { worker: W.into(), boot_id: "b1".into(), change, draining: true, ..HoldAnswer::default() });
    t.held(draining(1));
    let told = t.facts();
    assert!(told.iter().all(|f| f.assignment == ASSIGNMENT));
    t.update(|u| u.workers = vec![WorkerSummary { assignment: ASSIGNMENT + 2, ..worker(W, "b1", Some(ME)) }]);
    let mut fx = t.tick(1_000);
    fx.extend(t.held(draining(2)));
    fx.extend(t.tick(1_000));
    assert!(facts(&fx).iter().any(|f| f.draining == Some(true) && f.assignment == ASSIGNMENT + 2), "{fx:?}");
}

/// Reports that a gateway may have on their way at once.
const OPEN_REPORTS: usize = 4;

#[test]
fn a_leader_that_is_behind_gets_larger_reports_not_more_of_them() {
    let mut t = Stand::attached();
    let mut reports = 0;
    let mut told_facts = 0;
    let mut count = |fx: &[GatewayEffect]| {
        reports += sent(fx).iter().filter(|f| matches!(f, GatewayFrame::Facts { .. })).count();
        told_facts += facts(fx).iter().map(|f| f.started.len()).sum::<usize>();
    };
    for job in 1..=20 {
        count(&t.give(id(job)));
        count(&t.started(id(job), Reply::Answer(StartResult::Started)));
        count(&t.tick(60));
    }
    for report in 1..=OPEN_REPORTS as u64 {
        count(&t.frame(SchedulerFrame::FactsDone { report }));
        count(&t.tick(60));
    }
    assert_eq!(told_facts, 20);
    assert!(reports <= 2 * OPEN_REPORTS, "{reports} reports");
}
