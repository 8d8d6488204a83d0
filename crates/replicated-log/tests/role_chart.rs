//! The role chart as data.

use replicated_log::prelude::*;

#[test]
fn only_a_candidate_becomes_leader_and_every_role_is_in_reach() {
    let chart = RoleChart::embedded();
    let mut reached = BTreeSet::from([chart.initial]);
    for _ in 0..chart.states.len() {
        let next: Vec<_> = reached.iter().flat_map(|r| chart.states[r].values().copied()).collect();
        reached.extend(next);
    }
    assert_eq!(reached.len(), 5);
    for (role, events) in &chart.states {
        let leads = events.values().any(|next| *next == Role::Leader);
        assert_eq!(leads, matches!(role, Role::Candidate | Role::Leader), "{role:?}");
        assert!(events.contains_key(&RoleEvent::HigherTerm), "{role:?}");
        assert!(events.contains_key(&RoleEvent::VoteLost), "{role:?}");
    }
}

#[test]
fn a_leader_never_heeds_another_of_its_term() {
    assert_eq!(RoleChart::embedded().next(Role::Leader, RoleEvent::LeaderHeard), None);
}
