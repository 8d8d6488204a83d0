//! Single rules of the replica, on a quiet fleet.

use crate::support::prelude::*;

mod support;

/// A fleet of three that has elected a leader and committed some commands.
fn led(seed: u64) -> (World, NodeId) {
    let mut world = World::new(seed, 3);
    world.run_until(600);
    let leader = world.leader().expect("a leader after six election timeouts");
    for _ in 0..5 {
        world.propose();
    }
    world.run_until(700);
    assert_eq!(world.answered, 5);
    (world, leader)
}

fn replica(world: &World, id: NodeId) -> &Replica<ChaCha8Rng> {
    world.nodes[&id].replica.as_ref().expect("a live machine")
}

/// One input to the leader, and the answer to it.
fn ask(world: &mut World, id: NodeId, input: Input) -> Vec<Effect> {
    let now = world.now;
    let node = world.nodes.get_mut(&id).expect("a machine");
    let clock = node.clock(now);
    node.replica.as_mut().expect("a live machine").step(clock, input)
}

fn shed_reason(effects: Vec<Effect>) -> Option<ProposeError> {
    effects.into_iter().find_map(|e| match e {
        Effect::Shed { error, .. } => Some(error),
        _ => None,
    })
}

fn change(world: &mut World, id: NodeId, change: MembershipChange) -> Option<ProposeError> {
    shed_reason(ask(world, id, Input::ProposeMembership { token: 9, change }))
}

#[test]
fn a_frozen_leader_has_no_lease_on_waking_and_steps_down_before_anything_leaves() {
    let (mut world, leader) = led(1);
    let clock = world.nodes[&leader].clock(world.now);
    assert!(replica(&world, leader).lease_valid(clock));
    let woken = clock + 5000;
    assert!(!replica(&world, leader).has_lease(woken));
    let node = world.nodes.get_mut(&leader).expect("a machine");
    let replica = node.replica.as_mut().expect("a live machine");
    let command = b"late".to_vec();
    let effects = replica.step(woken, Input::Propose { token: 1, command });
    assert!(matches!(effects[0], Effect::LostLeadership { .. }), "{effects:?}");
    assert!(!effects.iter().any(|e| matches!(e, Effect::Send { .. } | Effect::Persist(_))));
    assert!(matches!(shed_reason(effects), Some(ProposeError::NotLeader { .. })));
}

#[test]
fn nothing_that_promises_leaves_before_it_is_synced() {
    let founding = RestoredState::founding(Membership::of_voters((1..=3).map(|i| (i, home(i)))));
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut replica = Replica::new(support::world::quick_settings(), 7, 1, founding, 0, random);
    let say = |term, body| Input::Message(Message { cluster: 7, from: 2, to: 1, term, body });
    let vote = MessageBody::Vote { last_index: 0, last_term: 0, transfer: false };
    let sends = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Send { .. }));

    // Started just now: a leader may still live on what we promised before.
    assert!(replica.step(50, say(1, vote.clone())).is_empty());
    assert_eq!((replica.term(), replica.counters().votes_ignored), (0, 1));

    let effects = replica.step(100, say(1, vote));
    assert!(matches!(&effects[..], [Effect::Persist(r)] if r.ticket == 1), "{effects:?}");
    let effects = replica.step(100, Input::Persisted { ticket: 1 });
    assert!(matches!(&effects[..], [Effect::Send { to: 2, message: Message { body: MessageBody::VoteReply { granted: true }, .. } }]));

    let append = |entries: Vec<LogEntry>, prev_index| {
        let (prev_term, commit, sent_at) = (prev_index, 0, 77);
        MessageBody::Append(Append { prev_index, prev_term, commit, sent_at, entries })
    };
    let entry = LogEntry { term: 1, index: 1, log_time: 5, body: LogEntryBody::Noop };
    let effects = replica.step(110, say(1, append(vec![entry], 0)));
    assert!(matches!(&effects[..], [Effect::Persist(_)]), "{effects:?}");
    // A heartbeat is answered at once, with what is synced: nothing yet.
    let effects = replica.step(120, say(1, append(Vec::new(), 1)));
    let Some(Effect::Send { message, .. }) = effects.first() else { panic!("{effects:?}") };
    assert!(matches!(&message.body, MessageBody::AppendAck(a) if a.match_index == 0 && a.sent_at == 77));
    assert!(!sends(&replica.step(130, Input::Tick { wall_ms: 0 })));
    let effects = replica.step(140, Input::Persisted { ticket: 2 });
    let Some(Effect::Send { message, .. }) = effects.first() else { panic!("{effects:?}") };
    assert!(matches!(&message.body, MessageBody::AppendAck(a) if a.match_index == 1));
}

#[test]
fn followers_of_a_live_leader_ignore_votes_and_a_handover_still_works() {
    let (mut world, leader) = led(2);
    let follower = if leader == 1 { 2 } else { 1 };
    let third = 6 - leader - follower;
    let term = replica(&world, leader).term();
    let body = MessageBody::Vote { last_index: 99, last_term: 99, transfer: false };
    let message = Message { cluster: 7, from: third, to: follower, term: term + 3, body };
    assert!(ask(&mut world, follower, Input::Message(message)).is_empty());
    assert_eq!(replica(&world, follower).term(), term);

    world.step(leader, Input::TransferLeadership { token: 1, to: follower });
    let clock = world.nodes[&leader].clock(world.now);
    assert!(!replica(&world, leader).has_lease(clock), "the lease goes with the handover");
    world.run_until(world.now + 30);
    assert_eq!(world.leader(), Some(follower));
    assert_eq!(replica(&world, follower).term(), term + 1);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

#[test]
fn a_disk_is_replaced_by_a_new_member_and_the_next_loss_is_survived() {
    let (mut world, leader) = led(3);
    let gone = if leader == 1 { 2 } else { 1 };
    world.crash(gone);
    world.nodes.get_mut(&gone).expect("a machine").lost = true;
    world.add_node(4, RestoredState::joining());
    let join = MembershipChange::AddLearner { id: 4, address: home(4) };
    world.step(leader, Input::ProposeMembership { token: 1, change: join.clone() });
    let early = change(&mut world, leader, MembershipChange::Remove { id: gone });
    assert!(matches!(early, Some(ProposeError::ChangeInFlight { .. })), "{early:?}");
    world.run_until(world.now + 100);
    assert_eq!(change(&mut world, leader, join), Some(ProposeError::AlreadyMember { id: 4 }));
    for change in [MembershipChange::Promote { id: 4 }, MembershipChange::Remove { id: gone }] {
        world.step(leader, Input::ProposeMembership { token: 1, change });
        world.run_until(world.now + 100);
    }
    let back = MembershipChange::AddLearner { id: gone, address: home(gone) };
    assert_eq!(change(&mut world, leader, back), Some(ProposeError::Retired { id: gone }));
    assert_eq!(replica(&world, 4).role(), Role::Follower);

    // The next loss: the old leader. The newcomer and the third go on.
    world.crash(leader);
    world.run_until(world.now + 500);
    let answered = world.answered;
    world.propose();
    world.run_until(world.now + 50);
    assert_eq!(world.answered, answered + 1);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

#[test]
fn a_learner_that_lags_is_not_promoted_and_a_removed_leader_goes_after_the_commit() {
    let (mut world, leader) = led(4);
    world.add_node(4, RestoredState::joining());
    world.crash(4);
    let join = MembershipChange::AddLearner { id: 4, address: home(4) };
    world.step(leader, Input::ProposeMembership { token: 1, change: join });
    world.run_until(world.now + 50);
    let early = change(&mut world, leader, MembershipChange::Promote { id: 4 });
    assert!(matches!(early, Some(ProposeError::NotCaughtUp { id: 4, .. })), "{early:?}");

    let remove = MembershipChange::Remove { id: leader };
    world.step(leader, Input::ProposeMembership { token: 1, change: remove });
    assert!(replica(&world, leader).is_leader(), "it leads on until the commit");
    world.run_until(world.now + 600);
    assert_eq!(replica(&world, leader).role(), Role::Learner);
    let next = world.leader().expect("another leader");
    assert!(replica(&world, next).membership().retired.contains(&leader));
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

#[test]
fn one_jumped_wall_clock_does_not_move_the_floor() {
    let (mut world, leader) = led(5);
    let floor = |world: &World| {
        let clock = world.nodes[&leader].clock(world.now);
        replica(world, leader).wall_clock_floor(clock)
    };
    let near = |world: &World| floor(world).is_some_and(|f| f.abs_diff(1_000_000 + world.now) < 60);
    assert!(near(&world), "{:?}", floor(&world));
    for id in 1..=3 {
        world.nodes.get_mut(&id).expect("a machine").wall_jump = 9_000_000;
        world.run_until(world.now + 50);
        assert!(near(&world), "{:?} with {id} ahead", floor(&world));
        world.nodes.get_mut(&id).expect("a machine").wall_jump = 0;
        world.run_until(world.now + 50);
    }
    // Two of three ahead are a quorum: then it must move.
    for id in 1..=2 {
        world.nodes.get_mut(&id).expect("a machine").wall_jump = 9_000_000;
    }
    world.run_until(world.now + 50);
    assert!(floor(&world).is_some_and(|f| f > 9_000_000));
}

#[test]
fn proposals_are_shed_with_the_reason() {
    let (mut world, leader) = led(6);
    let settings = support::world::quick_settings();
    let command = vec![0; settings.max_command_bytes + 1];
    let shed = shed_reason(ask(&mut world, leader, Input::Propose { token: 1, command }));
    assert!(matches!(shed, Some(ProposeError::TooLarge { .. })), "{shed:?}");
    let follower = if leader == 1 { 2 } else { 1 };
    let command = vec![0];
    let shed = shed_reason(ask(&mut world, follower, Input::Propose { token: 1, command }));
    assert_eq!(shed, Some(ProposeError::NotLeader { hint: Some(leader) }));
    let others: Vec<_> = (1..=3).filter(|id| *id != leader).collect();
    world.cut.extend(others.iter().map(|id| (*id, leader)));
    let shed = (0..10_000).find_map(|token| {
        let command = vec![0; 100];
        shed_reason(ask(&mut world, leader, Input::Propose { token, command }))
    });
    assert!(matches!(shed, Some(ProposeError::Overloaded { .. })), "{shed:?}");
}

#[test]
fn messages_of_others_are_counted_and_dropped() {
    let (mut world, leader) = led(7);
    let body = MessageBody::TimeoutNow;
    let message = Message { cluster: 8, from: 2, to: leader, term: 99, body };
    let mut bytes = message.to_bytes();
    assert!(ask(&mut world, leader, Input::Message(message.clone())).is_empty());
    let other = Message { cluster: 7, to: 77, ..message };
    assert!(ask(&mut world, leader, Input::Message(other)).is_empty());
    bytes[0] = 200;
    assert!(ask(&mut world, leader, Input::Wire(bytes.clone())).is_empty());
    bytes[0] = WIRE_VERSION;
    assert!(ask(&mut world, leader, Input::Wire(bytes[..4].to_vec())).is_empty());
    let counters = replica(&world, leader).counters();
    let seen = (counters.other_cluster, counters.misrouted, counters.unknown_version, counters.malformed);
    assert_eq!(seen, (1, 1, 1, 1));
}

#[test]
fn the_log_in_memory_stays_bounded_and_a_long_absent_member_gets_the_snapshot() {
    let (mut world, leader) = led(8);
    let absent = if leader == 1 { 2 } else { 1 };
    world.crash(absent);
    for _ in 0..400 {
        world.propose();
        world.run_until(world.now + 5);
    }
    let bytes = replica(&world, leader).log().bytes();
    let settings = support::world::quick_settings();
    let bound = settings.snapshot_after_bytes * 2 + settings.kept_tail_bytes;
    assert!(bytes < bound, "{bytes} bytes in memory, the bound is {bound}");
    world.start(absent);
    world.run_until(world.now + 300);
    assert_eq!(replica(&world, absent).counters().snapshots_installed, 1);
    assert_eq!(replica(&world, absent).commit_index(), replica(&world, leader).commit_index());
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

#[test]
fn a_whole_fleet_that_lost_power_goes_on_with_a_clock_that_never_fell() {
    let (mut world, leader) = led(9);
    let before = replica(&world, leader).log().last_log_time();
    for id in 1..=3 {
        world.crash(id);
        world.start(id);
    }
    // Twelve election timeouts; with the default of a second, twelve seconds.
    world.run_until(world.now + 1200);
    let leader = world.leader().expect("a leader after the power is back");
    let clock = world.nodes[&leader].clock(world.now);
    assert!(replica(&world, leader).log_time(clock) > before);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

/// Clock of `elected`, in the replica's own ms.
const ELECTED_AT: Millis = 1000;

fn say(term: Term, body: MessageBody) -> Input {
    Input::Message(Message { cluster: 7, from: 2, to: 1, term, body })
}

fn acked(match_index: Index, sent_at: Millis) -> MessageBody {
    MessageBody::AppendAck(AppendAck { sent_at, match_index, conflict: None, wall_ms: None })
}

/// Member 1 of three, just elected in term 2 with the votes of 1 and 2. Its log has
/// an entry of term 1, of which nobody knows whether it is committed, and its noop.
fn elected() -> Replica<ChaCha8Rng> {
    let members = Membership::of_voters((1..=3).map(|i| (i, home(i))));
    let mut state = RestoredState::founding(members);
    state.hard_state.term = 1;
    state.entries = vec![LogEntry { term: 1, index: 1, log_time: 5, body: LogEntryBody::Noop }];
    let random = ChaCha8Rng::seed_from_u64(1);
    let settings = support::world::quick_settings();
    let mut replica = Replica::new(settings, 7, 1, state, 0, random);
    replica.step(ELECTED_AT, Input::Tick { wall_ms: 0 });
    let granted = MessageBody::PreVoteReply { next_term: 2, granted: true };
    replica.step(ELECTED_AT, say(1, granted));
    replica.step(ELECTED_AT, Input::Persisted { ticket: 1 });
    replica.step(ELECTED_AT, say(2, MessageBody::VoteReply { granted: true }));
    replica.step(ELECTED_AT, Input::Persisted { ticket: 2 });
    assert!(replica.is_leader());
    assert_eq!((replica.term(), replica.last_index(), replica.durable_index()), (2, 2, 2));
    replica
}

#[test]
fn an_entry_of_an_old_term_is_committed_only_through_one_of_the_new() {
    let mut replica = elected();
    replica.step(ELECTED_AT, say(2, acked(1, ELECTED_AT)));
    assert_eq!(replica.commit_index(), 0, "a quorum has it, but it may still be truncated");
    replica.step(ELECTED_AT, say(2, acked(2, ELECTED_AT)));
    assert_eq!(replica.commit_index(), 2);
}

#[test]
fn the_lease_counts_from_the_sending_and_not_from_the_receipt() {
    let mut replica = elected();
    assert!(!replica.has_lease(ELECTED_AT), "votes are no acknowledgements");
    let lease = support::world::quick_settings().lease_ms();
    let now = ELECTED_AT + lease;
    replica.step(now, say(2, acked(1, ELECTED_AT)));
    assert!(!replica.has_lease(now));
    replica.step(now, say(2, acked(1, ELECTED_AT + 1)));
    assert!(replica.has_lease(now) && !replica.has_lease(now + 1));
    assert!(!replica.lease_valid(now), "nothing of its own term is committed");
    replica.step(now, say(2, acked(2, ELECTED_AT + 1)));
    assert!(replica.lease_valid(now));
}

#[test]
fn a_new_leader_changes_no_membership_before_it_has_committed_in_its_term() {
    let mut replica = elected();
    let change = MembershipChange::Remove { id: 3 };
    let ask = || Input::ProposeMembership { token: 1, change: change.clone() };
    let shed = shed_reason(replica.step(ELECTED_AT, ask()));
    assert_eq!(shed, Some(ProposeError::TermNotCommitted { term: 2 }));
    replica.step(ELECTED_AT, say(2, acked(2, ELECTED_AT)));
    assert_eq!(shed_reason(replica.step(ELECTED_AT, ask())), None);
    assert!(!replica.membership().is_voter(3) && !replica.membership_committed());
}

#[test]
fn a_restarted_leader_leads_again_without_waiting_out_its_own_lease() {
    for seed in 0..20 {
        let (mut world, leader) = led(seed);
        let end = world.now;
        for id in 1..=3 {
            world.crash(id);
        }
        for id in 1..=3 {
            world.start(id);
        }
        // Well within one election timeout, which all others would have to wait out.
        world.run_until(end + 80);
        assert_eq!(world.leader(), Some(leader), "seed {seed}: {}", world.describe());
        assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    }
}

#[test]
fn a_restarted_leader_that_was_replaced_disturbs_nobody() {
    for seed in 0..20 {
        let (mut world, leader) = led(seed);
        world.crash(leader);
        world.run_until(world.now + 600);
        let next = world.leader().expect("another leader");
        let term = replica(&world, next).term();
        world.start(leader);
        world.run_until(world.now + 600);
        assert_eq!((world.leader(), replica(&world, next).term()), (Some(next), term), "seed {seed}");
        assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    }
}

#[test]
fn only_the_member_that_was_elected_remembers_that_it_led() {
    let (world, leader) = led(3);
    for id in 1..=3 {
        assert_eq!(replica(&world, id).hard_state().led, id == leader);
    }
}

#[test]
fn a_member_that_holds_more_than_the_restarted_leader_runs_soon_itself() {
    let mut stored = RestoredState::founding(Membership::of_voters((1..=3).map(|i| (i, home(i)))));
    stored.hard_state = HardState { term: 1, voted_for: Some(2), led: false };
    stored.entries = (1..=2).map(|index| LogEntry { term: 1, index, log_time: index, body: LogEntryBody::Noop }).collect();
    let mut replica = Replica::new(support::world::quick_settings(), 7, 1, stored, 0, ChaCha8Rng::seed_from_u64(1));
    // The leader of term 1 lost its last write with the power, and tells that it is back.
    let vote = MessageBody::Vote { last_index: 1, last_term: 1, transfer: true };
    let mut effects = replica.step(5, Input::Message(Message { cluster: 7, from: 2, to: 1, term: 2, body: vote }));
    while let Some(Effect::Persist(request)) = effects.first().cloned() {
        effects = replica.step(6, Input::Persisted { ticket: request.ticket });
    }
    let refused = |e: &Effect| matches!(e, Effect::Send { message, .. } if message.body == MessageBody::VoteReply { granted: false });
    assert!(effects.iter().any(refused), "{effects:?}");
    // A heartbeat later, and not an election timeout later, it asks for pre-votes.
    let effects = replica.step(26, Input::Tick { wall_ms: 0 });
    let asks = |e: &&Effect| matches!(e, Effect::Send { message, .. } if matches!(message.body, MessageBody::PreVote { .. }));
    assert_eq!(effects.iter().filter(asks).count(), 2, "{effects:?}");
}
