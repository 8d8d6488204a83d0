//! No inlet of the core starves behind others, however fast their inputs arrive.

use scheduler::{Inlet, InletTurns};

/// Inputs of others that an inlet may wait for: one row of the cluster's own, and one of the other inlet.
const MOST_WAIT: usize = 20;

fn longest_wait(waiting: &[Inlet], wanted: Inlet) -> usize {
    let mut turns = InletTurns::default();
    let (mut waited, mut longest) = (0, 0);
    for _ in 0..1_000 {
        let next = turns.next(|inlet| waiting.contains(&inlet)).unwrap();
        turns.taken(next);
        waited = if next == wanted { 0 } else { waited + 1 };
        longest = longest.max(waited);
    }
    longest
}

#[test]
fn a_call_waits_for_few_frames_while_gateways_never_pause() {
    assert!(longest_wait(&[Inlet::Calls, Inlet::Gateways], Inlet::Calls) <= 1);
}

#[test]
fn calls_without_end_hold_no_gateway_up() {
    assert!(longest_wait(&[Inlet::Calls, Inlet::Gateways], Inlet::Gateways) <= 1);
}

#[test]
fn what_keeps_the_cluster_together_goes_first_but_starves_nobody() {
    let all = [Inlet::Cluster, Inlet::Ticks, Inlet::Calls, Inlet::Gateways];
    assert_eq!(longest_wait(&all, Inlet::Cluster), 1);
    assert!(longest_wait(&all, Inlet::Ticks) <= MOST_WAIT);
    let all = [Inlet::Cluster, Inlet::Calls, Inlet::Gateways];
    assert!(longest_wait(&all, Inlet::Calls) <= 2 * MOST_WAIT);
    assert!(longest_wait(&all, Inlet::Gateways) <= 2 * MOST_WAIT);
}
