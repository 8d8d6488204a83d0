//! Many gateways that attach at once, as after a loss of power, and what they cost the leader.

mod leader;

use std::collections::BTreeMap;

use leader::{Leader, TICK_MS, attach_frame, founder};
use scheduler_core::prelude::*;

/// Gateways of a large fleet.
const GATEWAYS: u64 = 147;
/// Whole views that may leave in one step: at half a megabyte each, more would hold up all else.
const VIEWS_A_STEP: usize = 16;
/// Service is back within 12 s, and a gateway without a view doesn't serve.
const ALL_VIEWS_MS: Millis = 12_000;

/// The channels to which whole views were begun since the last look.
fn take_whole_views(leader: &mut Leader) -> Vec<ChannelId> {
    let begins = |frame: &SchedulerFrame| matches!(frame, SchedulerFrame::Update(update) if update.reset);
    std::mem::take(&mut leader.frames).into_iter().filter(|(_, frame)| begins(frame)).map(|(channel, _)| channel).collect()
}

#[test]
fn whole_views_leave_in_batches_when_all_gateways_attach_at_once() {
    let mut leader = Leader::elected(founder());
    let began = leader.now;
    let mut views: BTreeMap<ChannelId, u32> = BTreeMap::new();
    for gateway in 1..=GATEWAYS {
        leader.frame(gateway, attach_frame(&format!("g{gateway}"), gateway));
    }
    let mut at_once = take_whole_views(&mut leader);
    assert!(at_once.len() <= VIEWS_A_STEP, "{} whole views within a moment", at_once.len());
    while views.len() < GATEWAYS as usize {
        at_once.iter().for_each(|channel| *views.entry(*channel).or_default() += 1);
        leader.run(TICK_MS);
        assert!(leader.now < began + ALL_VIEWS_MS, "{} of {GATEWAYS} gateways have a view", views.len());
        at_once = take_whole_views(&mut leader);
        assert!(at_once.len() <= VIEWS_A_STEP);
        for gateway in 1..=GATEWAYS {
            let stamp = leader.now;
            leader.frame(gateway, GatewayFrame::Pulse { stamp, view: 0, configuration: 0 });
        }
        at_once.extend(take_whole_views(&mut leader));
    }
    assert!(views.values().all(|count| *count == 1), "{views:?}");
}
