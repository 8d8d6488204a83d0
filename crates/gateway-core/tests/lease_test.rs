//! Workers that take leases: what proves that nothing of theirs runs any more.

mod stand;

use gateway_core::prelude::*;
use stand::*;

/// A gateway that holds one worker with leases of up to 10 s; its first hold is out.
fn leased() -> Stand {
    let mut t = Stand::with(GatewaySettings { lease_most_ms: 10_000, hold_interval_ms: 500, ..GatewaySettings::default() });
    t.attach();
    let summary = WorkerSummary { leased: true, ..worker(W, W, Some(ME)) };
    let fx = t.update(|u| u.workers = vec![summary]);
    assert!(holds(&fx)[0].lease_until_ms.is_none(), "without a reading of its clock no lease can be stated");
    t
}

/// Answers the hold that is out with the worker's clock and lists.
fn answer(t: &mut Stand, clock: Millis, running: &[AttemptId], ended: &[EndedAttempt]) -> Vec<GatewayEffect> {
    t.held(Reply::Answer(HoldAnswer {
        worker: W.into(),
        boot_id: W.into(),
        change: clock,
        running: running.to_vec(),
        ended: ended.to_vec().into(),
        clock_ms: Some(clock),
        ..HoldAnswer::default()
    }))
}

/// The holds among effects.
fn holds(fx: &[GatewayEffect]) -> Vec<HoldOrder> {
    let hold = |e: &GatewayEffect| match e {
        GatewayEffect::Hold { order, .. } => Some(order.clone()),
        _ => None,
    };
    fx.iter().filter_map(hold).collect()
}

/// Time passes, and no hold gets an answer.
fn silent(t: &mut Stand, ms: Millis) -> Vec<GatewayEffect> {
    let mut all = t.held(Reply::Unknown);
    for _ in 0..ms / 25 {
        let fx = pass(t, 25);
        for _ in holds(&fx) {
            all.extend(t.held(Reply::Unknown));
        }
        all.extend(fx);
    }
    all
}

/// The end of the lease that a start carries, if one left.
fn start_lease(fx: &[GatewayEffect]) -> Option<Millis> {
    fx.iter().find_map(|e| match e {
        GatewayEffect::Start { order, .. } => order.lease_until_ms,
        _ => None,
    })
}

#[test]
fn a_silent_workers_lease_runs_out_though_it_is_asked_again_and_again() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    let fx = t.give(id(1));
    assert!(start_lease(&fx) > Some(50_000));
    t.started(id(1), Reply::Answer(StartResult::Started));
    answer(&mut t, 50_010, &[id(1)], &[]);
    // Until the leases are surely over that the gateway before may have given.
    let mut clock = 50_010;
    for _ in 0..60 {
        pass(&mut t, 250);
        clock += 250;
        answer(&mut t, clock, &[id(1)], &[]);
    }
    let fx = silent(&mut t, 5_000);
    assert!(holds(&fx).len() > 5);
    assert!(holds(&fx).iter().all(|h| h.lease_until_ms.is_none()), "who doesn't answer gets no longer lease");
    let lost: Vec<WorkerFacts> = facts(&fx).into_iter().filter(|f| f.lapsed).collect();
    assert_eq!(lost.len(), 1, "told once");
    assert_eq!(lost[0].lost, [id(1)]);
}

#[test]
fn leases_of_the_gateway_before_are_waited_for() {
    let mut t = leased();
    let fx = silent(&mut t, 13_000);
    assert!(facts(&fx).iter().all(|f| !f.lapsed), "another gateway may have given a lease until 12 s + 2.2 s after it was last heard");
    let fx = silent(&mut t, 4_000);
    assert!(facts(&fx).iter().any(|f| f.lapsed));
}

#[test]
fn a_start_without_an_answer_is_void_once_its_lease_is_over_and_it_isnt_listed() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    let fx = t.give(id(1));
    let until = start_lease(&fx).unwrap();
    pass(&mut t, 100);
    let fx = answer(&mut t, until, &[], &[]);
    assert!(facts(&fx).iter().all(|f| f.voided.is_empty()), "it may still be carried out at that very time");
    pass(&mut t, 100);
    let mut fx = answer(&mut t, until + 1, &[], &[]);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().any(|f| f.voided == [id(1)]));
}

#[test]
fn another_life_at_the_address_proves_the_end_of_all() {
    let mut t = leased();
    answer(&mut t, 50_000, &[id(1)], &[]);
    pass(&mut t, 200);
    let mut fx = t.held(Reply::OtherLife);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().any(|f| f.gone && f.lost == [id(1)]));
}

#[test]
fn ends_are_observed_only_once_they_are_in_the_log() {
    let mut t = leased();
    let end = EndedAttempt { sequence: 7, ..EndedAttempt::new(id(1), Outcome::Succeeded) };
    let fx = answer(&mut t, 50_000, &[], std::slice::from_ref(&end));
    let report = facts(&fx);
    assert_eq!(report[0].ended.len(), 1);
    let fx = pass(&mut t, 100);
    assert!(holds(&fx).iter().all(|h| h.observed == 0));
    answer(&mut t, 50_100, &[], std::slice::from_ref(&end));
    t.frame(SchedulerFrame::FactsDone { report: 1 });
    answer(&mut t, 50_200, &[], std::slice::from_ref(&end));
    let fx = pass(&mut t, 100);
    assert!(holds(&fx).iter().any(|h| h.observed == 7), "{fx:?}");
}

#[test]
fn one_order_without_an_answer_puts_a_worker_out_of_reach_until_it_answers() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    t.give(id(1));
    let mut fx = t.started(id(1), Reply::Unknown);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().any(|f| f.reachable == Some(false)), "{fx:?}");
    let mut fx = answer(&mut t, 50_100, &[], &[]);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().any(|f| f.reachable == Some(true)));
}

#[test]
fn an_order_that_never_left_says_nothing_of_its_worker() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    t.give(id(1));
    let mut fx = t.started(id(1), Reply::NotSent);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().all(|f| f.reachable.is_none()));
}

#[test]
fn a_worker_that_answers_neither_orders_nor_looks_is_told_as_silent_once() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    t.give(id(1));
    let mut fx = t.started(id(1), Reply::Unknown);
    fx.extend(pass(&mut t, 100));
    assert!(facts(&fx).iter().all(|f| !f.silent), "one order alone may be late");
    let fx = silent(&mut t, 2_000);
    assert_eq!(facts(&fx).iter().filter(|f| f.silent).count(), 1);
}

/// The worker is held under another assignment.
fn assigned(t: &mut Stand, assignment: u64) -> Vec<GatewayEffect> {
    let summary = WorkerSummary { leased: true, assignment, ..worker(W, W, Some(ME)) };
    t.update(|u| u.workers = vec![summary])
}

#[test]
fn orders_carry_the_assignment_as_their_fence_and_those_of_an_earlier_one_never_leave() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    assigned(&mut t, ASSIGNMENT + 4);
    let mut fx = t.give(id(1));
    fx.extend(pass(&mut t, 500));
    assert!(starts(&fx).is_empty(), "it was intended under the assignment before");
    assert!(facts(&fx).iter().any(|f| f.voided == [id(1)]), "{fx:?}");
    let order = StartOrder { fence: ASSIGNMENT + 4, ..t.order(id(2)) };
    let mut fx = t.update(|u| u.starts = vec![order]);
    assert_eq!(starts(&fx), [id(2)]);
    fx.extend(pass(&mut t, 500));
    assert!(holds(&fx).iter().all(|h| h.fence == ASSIGNMENT + 4), "{fx:?}");
}

#[test]
fn a_worker_that_went_elsewhere_and_came_back_unseen_has_leases_of_others_waited_for() {
    let mut t = leased();
    answer(&mut t, 50_000, &[id(1)], &[]);
    pass(&mut t, 20_000);
    assigned(&mut t, ASSIGNMENT + 2);
    let fx = silent(&mut t, 10_000);
    assert!(facts(&fx).iter().all(|f| !f.lapsed), "another gateway may have held it meanwhile");
    let fx = silent(&mut t, 8_000);
    let told = facts(&fx);
    assert!(told.iter().any(|f| f.lapsed && f.assignment == ASSIGNMENT + 2), "{told:?}");
}

#[test]
fn facts_carry_the_assignment_under_which_they_were_learned() {
    let mut t = leased();
    answer(&mut t, 50_000, &[id(1)], &[]);
    let mut fx = silent(&mut t, 600);
    t.update(|u| u.workers = vec![WorkerSummary { leased: true, assignment: ASSIGNMENT + 1, ..worker(W, W, Some("g2")) }]);
    fx.extend(pass(&mut t, 500));
    let told: Vec<WorkerFacts> = facts(&fx).into_iter().filter(|f| f.reachable == Some(false)).collect();
    assert!(!told.is_empty() && told.iter().all(|f| f.assignment == ASSIGNMENT), "{told:?}");
}

#[test]
fn who_attaches_again_and_again_without_news_of_its_share_stops_giving_leases() {
    let mut t = leased();
    answer(&mut t, 50_000, &[], &[]);
    let mut given: Vec<(Millis, Option<Millis>)> = Vec::new();
    let fx = pass(&mut t, 1_000);
    assert!(holds(&fx).iter().any(|h| h.lease_until_ms.is_some()));
    let sure = t.now;
    while t.now < sure + 20_000 {
        t.down();
        t.attach();
        let clock = 50_000 + t.now;
        for fx in [answer(&mut t, clock, &[], &[]), t.tick(100)] {
            given.extend(holds(&fx).iter().map(|h| (clock - 50_000, h.lease_until_ms)));
        }
    }
    let late: Vec<_> = given.iter().filter(|(at, _)| *at > sure + 12_000).collect();
    assert!(!late.is_empty() && late.iter().all(|(_, lease)| lease.is_none()), "{late:?}");
}
