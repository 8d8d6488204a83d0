use gateway_core::prelude::*;

mod stand;
use stand::*;

#[test]
fn a_hint_of_the_leader_is_followed_at_once() {
    let mut t = Stand::new();
    t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
    t.channel = 1;
    t.step(GatewayInput::ChannelUp { channel: 1, address: LEADER.into() });
    let fx = t.frame(SchedulerFrame::NotLeader { leader: Some("127.0.0.3:70".into()), schedulers: vec![] });
    assert_eq!(fx, [GatewayEffect::CloseChannel { channel: 1 }, GatewayEffect::Dial { address: "127.0.0.3:70".into() }]);
}

#[test]
fn circling_hints_end_in_a_wait() {
    let mut t = Stand::new();
    t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
    let mut at = LEADER.to_owned();
    let mut hops = 0;
    loop {
        t.channel += 1;
        t.step(GatewayInput::ChannelUp { channel: t.channel, address: at.clone() });
        let other = if at == LEADER { "127.0.0.3:70" } else { LEADER };
        let fx = t.frame(SchedulerFrame::NotLeader { leader: Some(other.into()), schedulers: vec![] });
        if !fx.iter().any(|e| matches!(e, GatewayEffect::Dial { .. })) {
            break;
        }
        at = other.into();
        hops += 1;
    }
    assert_eq!(hops, 3);
}

#[test]
fn a_silent_channel_is_dropped_and_a_pulsing_one_is_kept() {
    let mut t = Stand::attached();
    for _ in 0..20 {
        let fx = t.until(|e| matches!(e, GatewayEffect::Send { frame: GatewayFrame::Pulse { .. }, .. }));
        t.echo(&fx);
    }
    assert_eq!(t.core.session_state(), SessionState::Attached);
    let s = GatewaySettings::default();
    let closed = (0..).find(|_| t.tick(20).iter().any(|e| matches!(e, GatewayEffect::CloseChannel { .. }))).unwrap();
    assert_eq!((closed + 1) * 20, s.echo_silence());
}

#[test]
fn a_dial_that_fails_or_hangs_is_tried_again() {
    let mut t = Stand::new();
    for hang in [true, false, true] {
        t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
        if !hang {
            t.step(GatewayInput::DialFailed { address: LEADER.into() });
        }
    }
    // A channel that comes up after it was given up is closed.
    t.tick(2_000);
    let fx = t.step(GatewayInput::ChannelUp { channel: 9, address: "127.0.0.8:70".into() });
    assert_eq!(fx, [GatewayEffect::CloseChannel { channel: 9 }]);
}

#[test]
fn an_ask_is_forwarded_with_what_is_left_and_asked_again_on_the_next_channel() {
    let mut t = Stand::attached();
    let fx = t.ask(5, submit(1, 3));
    assert!(matches!(sent(&fx)[..], [GatewayFrame::Ask { time_budget_ms: BUDGET, .. }]));
    let before = t.now;
    t.down();
    let fx = t.attach();
    let gone = t.now - before;
    let again = sent(&fx).into_iter().find_map(|f| match f {
        GatewayFrame::Ask { request, time_budget_ms, .. } => Some((request, time_budget_ms)),
        _ => None,
    });
    let (request, left) = again.unwrap();
    assert_eq!(left, BUDGET - gone);
    let answer = AnswerBody::SubmitJob(JobAccepted { name: "j1".into(), job: 1, state: JobState::Waiting, already: true });
    let fx = t.frame(SchedulerFrame::Answer { request, result: Ok(answer.clone()) });
    assert_eq!(answers(&fx), [(5, Ok(answer.clone()))]);
    assert!(answers(&t.frame(SchedulerFrame::Answer { request, result: Ok(answer) })).is_empty());
}

#[test]
fn without_a_leader_an_ask_ends_at_its_budget_or_at_our_patience() {
    let mut t = Stand::new();
    t.step(GatewayInput::Ask { ask: 1, time_budget_ms: 600, body: submit(1, 3) });
    t.step(GatewayInput::Ask { ask: 2, time_budget_ms: 60_000, body: submit(2, 3) });
    let mut seen = Vec::new();
    while t.now < 10_000 {
        let fx = t.tick(20);
        seen.extend(answers(&fx).into_iter().map(|(n, r)| (t.now, n, r.unwrap_err().http_status())));
    }
    assert_eq!(seen, [(600, 1, 503), (GatewaySettings::default().patience(), 2, 503)]);
}

#[test]
fn an_ask_that_left_ends_with_its_budget_as_unknown() {
    let mut t = Stand::attached();
    let asked = t.now;
    t.ask(1, submit(1, 3));
    let fx = t.until(|e| matches!(e, GatewayEffect::Answer { .. }));
    assert!(matches!(answers(&fx)[..], [(1, Err(CallError::TimeBudgetSpent { .. }))]));
    assert_eq!(t.now, asked + BUDGET);
}

#[test]
fn repeats_are_bounded_by_a_share_of_the_asks() {
    let mut t = Stand::attached();
    (0..20).for_each(|n| drop(t.step(GatewayInput::Ask { ask: n, time_budget_ms: 60_000, body: submit(n, 9) })));
    let mut repeats = 0;
    for _ in 0..6 {
        t.down();
        let fx = t.attach();
        repeats += sent(&fx).iter().filter(|f| matches!(f, GatewayFrame::Ask { .. })).count();
    }
    // Half of the inbox was saved up, at its bound before the first ask.
    assert_eq!(repeats, 20);
    assert_eq!(t.core.counters().asks_spent, 20);
}

#[test]
fn the_less_urgent_is_shed_first_and_operators_keep_a_reserve() {
    let mut t = Stand::new();
    let fill = |t: &mut Stand, f: &dyn Fn(u64) -> CallBody| {
        (0..)
            .map(|n| (n, t.ask(n, f(n))))
            .find(|(_, fx)| !answers(fx).is_empty())
            .map(|(n, fx)| (n, answers(&fx).remove(0).1.unwrap_err()))
            .unwrap()
    };
    let (n, e) = fill(&mut t, &|n| submit(n, 0));
    assert_eq!(n, 20);
    assert!(matches!(&e, CallError::Shed { retry_after_ms, .. } if *retry_after_ms > 0));
    let more: Vec<u64> = [
        fill(&mut t, &|n| submit(n, 4)),
        fill(&mut t, &|n| CancelJob { name: n.to_string() }.into_body()),
        fill(&mut t, &|n| submit(n, 9)),
        fill(&mut t, &|n| DrainWorker { name: n.to_string(), on: true, order_id: None, ..DrainWorker::default() }.into_body()),
    ]
    .map(|(n, _)| n)
    .to_vec();
    assert_eq!(more, [8, 2, 8, 2]);
}

#[test]
fn an_attach_without_an_answer_has_no_more_patience_than_a_dial() {
    let mut t = Stand::new();
    t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
    t.channel = 1;
    t.step(GatewayInput::ChannelUp { channel: 1, address: LEADER.into() });
    let closed = (0..).find(|_| t.tick(5).iter().any(|e| matches!(e, GatewayEffect::CloseChannel { .. }))).unwrap();
    assert_eq!((closed + 1) * 5, GatewaySettings::default().dial_budget());
}

/// Found by a hunt: a whole view took longer than that on a slow link, the echo behind it came too late, and each new channel
/// began the same view anew, for ever.
#[test]
fn a_channel_on_which_a_long_view_arrives_is_kept_without_an_echo() {
    let mut t = Stand::new();
    t.attach();
    let patience = GatewaySettings::default().echo_silence();
    let closes = |fx: &[GatewayEffect]| fx.iter().any(|e| matches!(e, GatewayEffect::CloseChannel { .. }));
    for _ in 0..6 {
        let mut fx = t.tick(patience / 2);
        fx.extend(t.update(|u| u.upto = 0));
        assert!(!closes(&fx));
    }
    let silent = t.tick(patience + 1);
    assert!(closes(&silent), "without anything at all it is dropped");
}
