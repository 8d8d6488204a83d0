mod leader;

use cluster_messages::GetJob;
use leader::{Leader, attach_frame, founder};
use scheduler_core::prelude::*;

const CHANNEL: ChannelId = 1;

/// A scheduler of its own, with a gateway attached.
fn attached() -> Leader {
    let mut leader = Leader::elected(founder());
    leader.frame(CHANNEL, attach_frame("g1", 3));
    assert!(leader.frames_to(CHANNEL).iter().any(|f| matches!(f, SchedulerFrame::Attached { .. })));
    leader
}

/// What an ask brings after so long a silence of its channel.
fn ask_after(silence: Millis) -> Vec<SchedulerFrame> {
    let mut leader = attached();
    leader.run(silence);
    leader.frames.clear();
    leader.frame(CHANNEL, GatewayFrame::Ask { request: 5, time_budget_ms: 60_000, body: GetJob { name: "x".into() }.into_body() });
    leader.frames_to(CHANNEL).into_iter().cloned().collect()
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
    let mut leader = attached();
    leader.frames.clear();
    let from = leader.now;
    for (stamp, arrived_at) in (1..).zip((from..=from + 4 * late).step_by(250)) {
        leader.now = arrived_at + late;
        leader.tick(arrived_at);
        leader.late_frame(CHANNEL, arrived_at, GatewayFrame::Pulse { stamp, view: 0, configuration: 0 });
    }
    assert!(leader.core.state().tables.gateways["g1"].alive, "a gateway was lost that spoke all the while");
    leader.frames_to(CHANNEL).into_iter().cloned().collect()
}

#[test]
fn a_leader_that_reads_late_takes_no_gateway_for_silent() {
    let frames = pulses_read_late(4_000);
    assert!(!frames.iter().any(|f| matches!(f, SchedulerFrame::NotLeader { .. })), "{frames:?}");
    assert!(frames.iter().any(|f| matches!(f, SchedulerFrame::PulseEcho { .. })));
}
