//! Many gateways that attach at once, as after a loss of power, and what they cost the leader.

use std::collections::BTreeMap;

use scheduler_core::prelude::*;

/// Gateways of a large fleet.
const GATEWAYS: u64 = 147;
/// Whole views that may leave in one step: at half a megabyte each, more would hold up all else.
const VIEWS_A_STEP: usize = 16;
/// Service is back within 12 s, and a gateway without a view doesn't serve.
const ALL_VIEWS_MS: Millis = 12_000;
const TICK_MS: Millis = 25;

/// One step with a disk that is at once; the channels to which whole views were begun.
fn whole_views(scheduler: &mut Scheduler, now: Millis, input: SchedulerInput) -> Vec<ChannelId> {
    let mut begun = Vec::new();
    let mut todo = VecDeque::from([input]);
    while let Some(input) = todo.pop_front() {
        for effect in scheduler.step(now, input) {
            match effect {
                SchedulerEffect::Persist(request) => todo.push_back(SchedulerInput::Persisted(request.ticket)),
                SchedulerEffect::Gateway(channel, frame) if matches!(&*frame, SchedulerFrame::Update(update) if update.reset) => {
                    begun.push(channel);
                }
                _ => {}
            }
        }
    }
    begun
}

fn leader() -> (Scheduler, Millis) {
    let mut settings = SchedulerSettings::new("c", "10.0.0.1:7001", "z1", 1_000);
    settings.founders = vec!["10.0.0.1:7001".into()];
    settings.seeds = settings.founders.clone();
    let mut scheduler = Scheduler::new(settings, 7, RestoredState::joining(), 0, 1).unwrap();
    let mut now = 0;
    while !scheduler.is_serving(now) {
        now += TICK_MS;
        whole_views(&mut scheduler, now, SchedulerInput::Tick { wall_ms: now, read_to: now });
    }
    (scheduler, now)
}

fn attach(gateway: u64, now: Millis) -> SchedulerInput {
    let frame = GatewayFrame::Attach {
        wire_version: WIRE_VERSION,
        cluster: "c".into(),
        name: format!("g{gateway}"),
        instance: gateway,
        zone: "z1".into(),
        http_address: "10.0.1.1:80".into(),
        view: 0,
        configuration: 0,
    };
    SchedulerInput::Gateway { channel: gateway, arrived_at: now, frame: Box::new(frame) }
}

#[test]
fn whole_views_leave_in_batches_when_all_gateways_attach_at_once() {
    let (mut scheduler, mut now) = leader();
    let began = now;
    let mut views: BTreeMap<ChannelId, u32> = BTreeMap::new();
    let mut at_once = Vec::new();
    for gateway in 1..=GATEWAYS {
        at_once.extend(whole_views(&mut scheduler, now, attach(gateway, now)));
    }
    assert!(at_once.len() <= VIEWS_A_STEP, "{} whole views within a moment", at_once.len());
    while views.len() < GATEWAYS as usize {
        at_once.iter().for_each(|channel| *views.entry(*channel).or_default() += 1);
        now += TICK_MS;
        assert!(now < began + ALL_VIEWS_MS, "{} of {GATEWAYS} gateways have a view", views.len());
        at_once = whole_views(&mut scheduler, now, SchedulerInput::Tick { wall_ms: now, read_to: now });
        assert!(at_once.len() <= VIEWS_A_STEP);
        for gateway in 1..=GATEWAYS {
            let frame = Box::new(GatewayFrame::Pulse { stamp: now, view: 0, configuration: 0 });
            let pulse = SchedulerInput::Gateway { channel: gateway, arrived_at: now, frame };
            at_once.extend(whole_views(&mut scheduler, now, pulse));
        }
    }
    assert!(views.values().all(|count| *count == 1), "{views:?}");
}
