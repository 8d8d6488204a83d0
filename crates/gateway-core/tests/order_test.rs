use gateway_core::prelude::*;

mod stand;
use stand::*;

#[test]
fn a_start_leaves_once_over_repeats_reattaches_and_resets() {
    let mut t = Stand::attached();
    assert_eq!(starts(&t.give(id(1))), [id(1)]);
    let o = t.order(id(1));
    assert!(starts(&t.update(|u| u.starts = vec![o.clone()])).is_empty());
    t.started(id(1), Reply::Unknown);
    t.down();
    t.attach();
    let again = t.order(id(1));
    let fx = t.update(|u| {
        u.reset = true;
        u.workers = vec![worker(W, "b1", Some(ME))];
        u.starts = vec![again];
    });
    assert!(starts(&fx).is_empty());
    // Nothing is told of an unknown fate.
    assert!(t.facts().iter().all(|f| f.voided.is_empty() && f.started.is_empty()));
}

#[test]
fn a_start_names_the_last_local_time_to_leave() {
    let mut t = Stand::attached();
    let fx = t.give(id(1));
    let by = fx.iter().find_map(|e| if let GatewayEffect::Start { leave_by, .. } = e { Some(*leave_by) } else { None });
    assert_eq!(by, Some(t.now + 500));
}

#[test]
fn a_late_start_is_dropped_and_told_as_void() {
    let mut t = Stand::attached();
    let o = t.order(id(1));
    t.now += 501;
    let mut fx = t.update(|u| u.starts = vec![o]);
    assert!(starts(&fx).is_empty());
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    assert_eq!(facts(&fx)[0].voided, [id(1)]);
}

#[test]
fn a_start_for_a_worker_of_another_gateway_is_void() {
    let mut t = Stand::attached();
    let o = t.order(id(1));
    let mut fx = t.update(|u| {
        u.workers = vec![worker(W, "b1", Some("g2"))];
        u.starts = vec![o];
    });
    assert!(starts(&fx).is_empty());
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    assert_eq!(facts(&fx)[0].voided, [id(1)]);
}

#[test]
fn a_start_that_waits_for_room_is_judged_again_when_it_leaves() {
    let mut t = Stand::attached();
    let most = GatewaySettings { inbox: 40, ..GatewaySettings::default() }.starts_out() as u64;
    let all: Vec<StartOrder> = (0..=most).map(|n| t.order(id(n))).collect();
    assert_eq!(starts(&t.update(|u| u.starts = all)).len() as u64, most);
    t.now += 501;
    let mut fx = t.started(id(0), Reply::Unknown);
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    assert!(starts(&fx).is_empty());
    assert_eq!(facts(&fx).iter().flat_map(|f| f.voided.clone()).collect::<Vec<_>>(), [id(most)]);
}

#[test]
fn the_outcome_of_a_start_is_told_as_far_as_it_is_proven() {
    let mut t = Stand::attached();
    for n in 1..=4 {
        t.give(id(n));
    }
    let mut fx = t.started(id(1), Reply::Answer(StartResult::Started));
    fx.extend(t.started(id(2), Reply::Answer(StartResult::Void)));
    fx.extend(t.started(id(3), Reply::NotSent));
    fx.extend(t.started(id(4), Reply::Unknown));
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    let f = facts(&fx);
    assert_eq!(f.iter().flat_map(|f| f.started.clone()).collect::<Vec<_>>(), [id(1)]);
    assert_eq!(f.iter().flat_map(|f| f.voided.clone()).collect::<Vec<_>>(), [id(2), id(3)]);
}

#[test]
fn a_stop_of_an_unsent_start_is_void_without_the_worker() {
    let mut t = Stand::attached();
    let o = t.order(id(1));
    let mut fx = t.update(|u| {
        u.starts = vec![o];
        u.stops = vec![StopOrder::unsent(id(1), W.into())];
    });
    assert!(starts(&fx).is_empty());
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    assert_eq!(facts(&fx)[0].voided, [id(1)]);
}

#[test]
fn a_stop_of_what_another_sent_is_never_told_as_void_unasked() {
    let mut t = Stand::attached();
    assert_eq!(stops(&t.stop(id(1))), 1);
    let mut fx = t.stop(id(1));
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    assert!(facts(&fx).iter().all(|f| f.voided.is_empty()), "{fx:?}");
    // And what was to be stopped is not started here afterwards.
    assert!(starts(&t.give(id(1))).is_empty());
}

#[test]
fn a_stop_is_repeated_until_it_is_answered() {
    let mut t = Stand::attached();
    t.give(id(1));
    t.started(id(1), Reply::Unknown);
    assert_eq!(stops(&t.stop(id(1))), 1);
    t.stopped(id(1), Reply::Unknown);
    t.until(|e| matches!(e, GatewayEffect::Stop { .. }));
    let mut fx = t.stopped(id(1), Reply::Answer(StopResult::Stopped));
    fx.extend(t.tick(GatewaySettings::default().fact_interval() + 10));
    let e = &facts(&fx)[0].ended;
    assert_eq!((e[0].attempt, e[0].outcome, e[0].ran_ms), (id(1), Outcome::Stopped, 0));
    assert_eq!((0..100).map(|_| stops(&t.tick(100))).sum::<usize>(), 0);
}

#[test]
fn a_frozen_gateway_sends_nothing_stale_when_it_wakes() {
    let mut t = Stand::attached();
    let o = t.order(id(1));
    t.now += 20_000;
    let fx = t.update(|u| u.starts = vec![o]);
    assert!(matches!(fx[0], GatewayEffect::CloseChannel { .. }), "{fx:?}");
    assert!(starts(&fx).is_empty() && sent(&fx).is_empty());
    assert_eq!(t.core.session_state(), SessionState::Seeking);
}
