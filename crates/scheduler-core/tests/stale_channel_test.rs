use cluster_messages::GetJob;
use scheduler_core::prelude::*;

const CHANNEL: ChannelId = 1;

/// A scheduler of its own, with a gateway attached at the time given back.
fn attached() -> (Scheduler, Millis) {
    let mut settings = SchedulerSettings::new("c", "10.0.0.1:7001", "z1", 1_000);
    settings.founders = vec!["10.0.0.1:7001".into()];
    settings.seeds = settings.founders.clone();
    let mut s = Scheduler::new(settings, 7, RestoredState::joining(), 0, 1).unwrap();
    let mut now = 0;
    while !s.is_serving(now) {
        now += 25;
        assert!(now < 60_000);
        step(&mut s, now, SchedulerInput::Tick { wall_ms: now, read_to: now });
    }
    let attach = GatewayFrame::Attach {
        wire_version: WIRE_VERSION,
        cluster: "c".into(),
        name: "g1".into(),
        instance: 3,
        zone: "z1".into(),
        http_address: "10.0.1.1:80".into(),
        view: 0,
        configuration: 0,
    };
    let frames = step(&mut s, now, SchedulerInput::Gateway { channel: CHANNEL, arrived_at: now, frame: Box::new(attach) });
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::Attached { .. })));
    (s, now)
}

/// One step with a disk that is at once; the frames to the gateway.
fn step(s: &mut Scheduler, now: Millis, input: SchedulerInput) -> Vec<SchedulerFrame> {
    let mut frames = Vec::new();
    let mut todo = VecDeque::from([input]);
    while let Some(i) = todo.pop_front() {
        for e in s.step(now, i) {
            match e {
                SchedulerEffect::Persist(r) => todo.push_back(SchedulerInput::Persisted(r.ticket)),
                SchedulerEffect::Gateway(CHANNEL, f) => frames.push((*f).clone()),
                _ => {}
            }
        }
    }
    frames
}

/// What an ask brings after so long a silence of its channel.
fn ask_after(silence: Millis) -> Vec<SchedulerFrame> {
    let (mut s, from) = attached();
    let now = from + silence;
    for at in (from..=now).step_by(25) {
        step(&mut s, at, SchedulerInput::Tick { wall_ms: at, read_to: at });
    }
    let ask = GatewayFrame::Ask { request: 5, time_budget_ms: 60_000, body: GetJob { name: "x".into() }.into_body() };
    step(&mut s, now, SchedulerInput::Gateway { channel: CHANNEL, arrived_at: now, frame: Box::new(ask) })
}

#[test]
fn what_was_stuck_on_a_channel_that_its_gateway_gave_up_is_not_carried_out() {
    let frames = ask_after(1_600);
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::NotLeader { .. })), "{frames:?}");
    assert!(!frames.iter().any(|f| matches!(f, SchedulerFrame::Answer { .. })), "{frames:?}");
}

#[test]
fn what_comes_within_a_channels_patience_is_carried_out() {
    assert!(ask_after(1_400).iter().any(|f| matches!(f, SchedulerFrame::Answer { request: 5, .. })));
}

/// Pulses that arrived in good time while the leader worked off what came before them.
fn pulses_read_late(late: Millis) -> Vec<SchedulerFrame> {
    let (mut s, from) = attached();
    let mut frames = Vec::new();
    let pulse = |stamp| Box::new(GatewayFrame::Pulse { stamp, view: 0, configuration: 0 });
    for (stamp, arrived_at) in (1..).zip((from..=from + 4 * late).step_by(250)) {
        let now = arrived_at + late;
        frames.extend(step(&mut s, now, SchedulerInput::Tick { wall_ms: now, read_to: arrived_at }));
        frames.extend(step(&mut s, now, SchedulerInput::Gateway { channel: CHANNEL, arrived_at, frame: pulse(stamp) }));
    }
    assert!(s.state().tables.gateways["g1"].alive, "a gateway was lost that spoke all the while");
    frames
}

#[test]
fn a_leader_that_reads_late_takes_no_gateway_for_silent() {
    let frames = pulses_read_late(4_000);
    assert!(!frames.iter().any(|f| matches!(f, SchedulerFrame::NotLeader { .. })), "{frames:?}");
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::PulseEcho { .. })));
}
