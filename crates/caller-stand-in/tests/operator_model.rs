//! Operators against a cluster in simulated time.
mod honest_cluster;

use caller_stand_in::prelude::*;
use honest_cluster::HonestCluster;

const MINUTE: Millis = 60_000;

fn operators(seed: u64) -> OperatorSettings {
    let gateways = ["g0", "g1", "g2"].map(str::to_owned).to_vec();
    OperatorSettings {
        change_every_ms: 1_000,
        evacuate_every_ms: 5_000,
        evacuate_for_ms: 2_000,
        drain_every_ms: 3_000,
        drain_for_ms: 2_000,
        ..OperatorSettings::new(Profile::Thaali, gateways, seed)
    }
}

fn cluster(seed: u64, lost_share: f64) -> HonestCluster {
    let mut c = HonestCluster::new(seed, lost_share);
    c.workers = ["w1", "w2", "w3"].map(str::to_owned).to_vec();
    c
}

/// Answers to puts: (change id, answer).
fn answers(c: &HonestCluster) -> Vec<(&str, &CallResult<ConfigurationAccepted>)> {
    let answer = |o| match o {
        &(_, Observation::ConfigurationAnswered { ref change_id, ref answer }) => Some((change_id.as_str(), answer)),
        _ => None,
    };
    c.seen.iter().filter_map(answer).collect()
}

#[test]
fn the_first_tree_of_each_profile_is_valid_and_has_the_queues_that_callers_use() {
    for profile in [Profile::Thaali, Profile::Harwick, Profile::Target] {
        let tree = deployment_tree(profile, &profile.regions());
        let t = SettingsTree::from_value(&tree).unwrap_or_else(|e| panic!("{e}"));
        let queues: BTreeSet<&str> = t.queues().map(|(_, _, q)| q).collect();
        for s in profile.streams(8_200) {
            let used =
                if s.queues == 0 { vec![s.queue.to_owned()] } else { (0..s.queues).map(|i| format!("{}-{i:03}", s.queue)).collect() };
            assert!(used.iter().all(|q| queues.contains(q.as_str())), "{profile:?} {}", s.prefix);
        }
        let zones = profile.regions().values().flatten().count();
        assert_eq!(t.queues().count(), zones * queues.len());
    }
}

#[test]
fn changes_race_resend_and_err_and_the_oracle_finds_nothing_wrong_with_an_honest_cluster() {
    for seed in 1..4 {
        let mut c = cluster(seed, 0.1);
        let mut m = OperatorModel::new(operators(seed), 0);
        c.run(&mut m, 0, 5 * MINUTE);
        let a = answers(&c);
        let count = |fits: &dyn Fn(&CallResult<ConfigurationAccepted>) -> bool| a.iter().filter(|(_, r)| fits(r)).count();
        let won = count(&|r| r.as_ref().is_ok_and(|a| !a.already));
        let again = count(&|r| r.as_ref().is_ok_and(|a| a.already));
        let raced = count(&|r| matches!(r, Err(CallError::RacedBase { .. })));
        let invalid = count(&|r| matches!(r, Err(CallError::Invalid { faults }) if faults.len() == 3));
        assert!(won > 100 && again > 20 && raced > 20 && invalid > 10, "{won} {again} {raced} {invalid}");
        let v = c.verdict(5 * MINUTE);
        assert!(v.is_clean(), "{:?}", v.examples);
    }
}

#[test]
fn every_resend_has_the_same_base_and_tree_and_racing_ones_share_the_base_only() {
    let mut c = cluster(1, 0.2);
    c.run(&mut OperatorModel::new(operators(1), 0), 0, 5 * MINUTE);
    let mut by: BTreeMap<&str, &PutConfiguration> = BTreeMap::new();
    for (_, _, call, _) in &c.sent {
        if let CallBody::PutConfiguration(p) = call {
            assert_eq!(*by.entry(&p.change_id).or_insert(p), p);
        }
    }
    let mut bases: BTreeMap<u64, Vec<&PutConfiguration>> = BTreeMap::new();
    by.values().for_each(|p| bases.entry(p.base_version).or_default().push(p));
    assert!(bases.values().any(|v| v.len() > 1 && v[0].tree != v[1].tree));
}

#[test]
fn zones_and_workers_come_back_in_the_end_whatever_gets_lost() {
    let mut c = cluster(2, 0.3);
    let mut m = OperatorModel::new(operators(2), 0);
    c.run(&mut m, 0, 3 * MINUTE);
    c.feed(&mut m, 3 * MINUTE, CallerInput::Rate(0.0));
    c.run(&mut m, 3 * MINUTE, 6 * MINUTE);
    assert!(m.evacuated().is_empty() && m.drained().is_empty());
    let mut last: BTreeMap<&str, bool> = BTreeMap::new();
    let (mut on, mut off) = (0, 0);
    let mut done = BTreeSet::new();
    for (_, o) in &c.seen {
        match o {
            Observation::EvacuationAnswered { zone, on: is_on, order_id } if done.insert(order_id) => {
                *(if *is_on { &mut on } else { &mut off }) += 1;
                last.insert(zone, *is_on);
            }
            Observation::DrainAnswered { worker, on } => drop(last.insert(worker, *on)),
            _ => {}
        }
    }
    assert!(on == off && on > 5, "{on} {off}");
    assert!(last.len() >= 5 && last.values().all(|on| !on), "{last:?}");
}

#[test]
fn the_configuration_is_read_through_every_gateway_in_turn() {
    let mut c = cluster(1, 0.0);
    c.run(&mut OperatorModel::new(operators(1), 0), 0, MINUTE);
    let mut by: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, o) in &c.seen {
        if let Observation::ConfigurationSeen { through, .. } = o {
            *by.entry(through).or_default() += 1;
        }
    }
    assert!(by.len() == 3 && by.values().all(|n| *n >= 38), "{by:?}");
}

#[test]
fn changes_make_the_tree_grow_when_asked_to() {
    let mut c = cluster(1, 0.0);
    let mut m = OperatorModel::new(OperatorSettings { most_added_queues: 50, ..operators(1) }, 0);
    c.run(&mut m, 0, 5 * MINUTE);
    let added = m.tree().to_string().matches("added-").count();
    // What loses a race is lost with its queue.
    assert!((25..=50).contains(&added), "{added}");
}
