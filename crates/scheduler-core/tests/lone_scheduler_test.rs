mod leader;

use leader::{Leader, TICK_MS, attach_frame, founder};
use scheduler_core::prelude::*;

const CHANNEL: ChannelId = 1;
/// Long enough for a scheduler that can be elected to be so.
const SETTLED_MS: Millis = 200 * TICK_MS;

/// An elected scheduler that wants so many voters.
fn elected(voters: usize) -> Leader {
    let mut leader = Leader::elected(SchedulerSettings { voters, ..founder() });
    leader.run(SETTLED_MS);
    leader
}

#[test]
fn the_rules_of_the_first_leader_are_in_the_log() {
    let l = elected(5);
    assert_eq!(l.core.state().tables.rules.voters, 5);
}

/// An entry that this build can't read must not be passed over: the state would differ from there on.
#[test]
fn an_unreadable_entry_halts_the_scheduler() {
    let mut restored = RestoredState::joining();
    let body = LogEntryBody::Membership(Membership::of_voters([(7, MemberAddress::new("a:1", "z1"))]));
    restored.entries.push(LogEntry { term: 0, index: 1, log_time: 0, body });
    restored.entries.push(LogEntry { term: 0, index: 2, log_time: 0, body: LogEntryBody::Command(vec![99, 1, 2]) });
    let mut l = Leader::restored(SchedulerSettings::new("c", "a:1", "z1", 1_000), restored);
    l.run(SETTLED_MS);
    assert!(l.halted.as_ref().is_some_and(|h| h.contains("entry 2")), "{:?}", l.halted);
    assert!(l.core.step(l.now, SchedulerInput::Tick { wall_ms: 0, read_to: l.now }).is_empty());
}

#[test]
fn a_call_whose_time_is_over_is_not_put_in_the_log() {
    let mut l = elected(1);
    l.frame(CHANNEL, attach_frame("g", 1));
    l.run(TICK_MS);
    let before = l.core.state().tables.next_job;
    let spec = JobSpec::single("j", "q", "s", 1, 1, 1);
    let ask = |request, time_budget_ms, spec| GatewayFrame::Ask {
        request,
        time_budget_ms,
        body: CallBody::SubmitJob(cluster_messages::SubmitJob { spec }),
    };
    l.frames.clear();
    // The first takes the slot of this moment; the second waits for the next one, and its caller doesn't.
    l.frame(CHANNEL, ask(1, 5_000, JobSpec { name: "first".into(), ..spec.clone() }));
    l.frame(CHANNEL, ask(2, 0, spec));
    l.run(2 * TICK_MS);
    assert_eq!(l.core.state().tables.next_job, before + 1);
    let spent = |f: &&SchedulerFrame| matches!(f, SchedulerFrame::Answer { request: 2, result: Err(CallError::TimeBudgetSpent { .. }) });
    assert_eq!(l.frames_to(CHANNEL).into_iter().filter(spent).count(), 1);
}

#[test]
fn another_wire_version_is_shed_by_type() {
    let mut l = elected(1);
    let mut frame = attach_frame("g", 1);
    if let GatewayFrame::Attach { wire_version, .. } = &mut frame {
        *wire_version += 1;
    }
    l.frame(CHANNEL, frame);
    assert!(matches!(l.frames_to(CHANNEL).last(), Some(SchedulerFrame::Shed(CallError::UnknownVersion { .. }))));
}
