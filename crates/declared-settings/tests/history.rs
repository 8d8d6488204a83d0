//! Versions: races, resends, bounds, snapshots.

use declared_settings::prelude::*;

fn with_urgency(urgency: u64) -> Vec<u8> {
    json!({"settings": {"urgency": urgency}}).to_string().into_bytes()
}

#[test]
fn of_two_racing_changes_one_wins() {
    let mut history = ConfigurationHistory::default();
    let won = history.put(0, "a", &with_urgency(1)).unwrap();
    assert_eq!((won.version, won.already_applied), (1, false));
    let lost = history.put(0, "b", &with_urgency(2));
    assert_eq!(lost, Err(PutError::RacedBase { current: 1, base: 0 }));
    assert_eq!(history.put(7, "b", &with_urgency(2)), Err(PutError::RacedBase { current: 1, base: 7 }));
    // The loser left nothing behind: its id is free, on the new base.
    assert_eq!(history.put(1, "b", &with_urgency(2)).unwrap().version, 2);
    assert_eq!(history.tree().overrides().get("urgency"), Some(&json!(2)));
}

#[test]
fn a_resend_gets_the_same_acknowledgement() {
    let mut history = ConfigurationHistory::default();
    let first = history.put(0, "a", &with_urgency(1)).unwrap();
    history.put(1, "b", &with_urgency(2)).unwrap();
    let before = history.clone();
    // The same tree in other words is the same content.
    let again = history.put(0, "a", b" {\"settings\": { \"urgency\":1} }").unwrap();
    assert_eq!(again, PutOutcome { already_applied: true, ..first });
    assert_eq!(history.applied("a"), Some(again));
    assert_eq!(history, before);
}

#[test]
fn an_id_with_other_content_is_a_conflict() {
    let mut history = ConfigurationHistory::default();
    let first = history.put(0, "a", &with_urgency(1)).unwrap();
    let conflict = PutError::ChangeIdReused { change_id: "a".into(), version: 1, digest: first.digest };
    assert_eq!(history.put(1, "a", &with_urgency(2)), Err(conflict.clone()));
    assert_eq!(history.put(0, "a", b"[]"), Err(conflict));
    assert_eq!(history.version(), 1);
}

#[test]
fn the_same_tree_again_makes_a_version() {
    let mut history = ConfigurationHistory::default();
    history.put(0, "a", &with_urgency(1)).unwrap();
    let same = history.put(1, "b", &with_urgency(1)).unwrap();
    assert_eq!((same.version, same.already_applied), (2, false));
    assert_eq!(history.entries().last().unwrap().patch.as_deref(), Some("[]"));
}

#[test]
fn faults_and_sizes_are_answered_before_the_race() {
    let bounds = ConfigurationSettings { most_tree_bytes: 100, ..ConfigurationSettings::default() };
    let mut history = ConfigurationHistory::new(bounds);
    let invalid = history.put(9, "a", br#"{"settings":{"urgency":10},"x":1}"#).unwrap_err();
    assert!(matches!(&invalid, PutError::Invalid { faults } if faults.faults.len() == 2));
    assert_eq!(
        json!(invalid)["faults"][0],
        json!({"path": "settings.urgency", "problem": "out_of_range", "range": "0 to 9", "found": "10"})
    );
    assert_eq!(history.put(0, "a", &[b' '; 101]), Err(PutError::TooLarge { most: 100, found: 101 }));
    for id in ["", "a b", "é", &"x".repeat(129)] {
        assert_eq!(history.put(0, id, b"{}"), Err(PutError::BadChangeId { most: 128 }), "{id}");
    }
    assert_eq!(history, ConfigurationHistory::new(history.bounds().clone()));
}

#[test]
fn a_forgotten_change_is_never_applied_twice() {
    let bounds = ConfigurationSettings { remembered_changes: 4, history_ratio: 0.5, ..ConfigurationSettings::default() };
    let mut history = ConfigurationHistory::new(bounds);
    for v in 0..6 {
        history.put(v, &format!("c{v}"), &with_urgency(v)).unwrap();
    }
    assert_eq!(history.put(0, "c0", &with_urgency(0)), Err(PutError::RacedBase { current: 6, base: 0 }));
    assert!(history.put(2, "c2", &with_urgency(2)).unwrap().already_applied);
    let kept: Vec<u64> = history.entries().map(|e| e.version).collect();
    assert_eq!(kept, [5, 6]);
    assert_eq!(history.since(4).map(|e| e.len()), Some(2));
    assert_eq!(history.since(6).map(|e| e.len()), Some(0));
    assert_eq!((history.since(3), history.since(7)), (None, None));
}

#[test]
fn the_kept_patches_lead_to_the_tree_in_force() {
    let mut history = ConfigurationHistory::default();
    for v in 0..5 {
        history.put(v, &format!("c{v}"), &with_urgency(v)).unwrap();
    }
    let mut tree = SettingsTree::default();
    for entry in history.since(0).unwrap() {
        tree = apply_patch(&tree, &entry.read_patch().unwrap().unwrap()).unwrap();
        assert_eq!(tree.digest(), entry.digest);
    }
    assert_eq!(tree, **history.tree());
}

#[test]
fn patches_are_bounded_in_bytes() {
    let bounds = ConfigurationSettings { most_tree_bytes: 1024, history_bytes_ratio: 0.1, ..ConfigurationSettings::default() };
    let mut history = ConfigurationHistory::new(bounds);
    for v in 0..9 {
        history.put(v, &format!("c{v}"), &with_urgency(v)).unwrap();
        let bytes: usize = history.entries().filter_map(|e| e.patch.as_ref()).map(String::len).sum();
        assert!(bytes <= 102, "{bytes}");
    }
    // Each patch has some 60 bytes, so that the bound of 102 leaves one.
    assert_eq!(history.entries().len(), 9);
    assert_eq!(history.entries().filter(|e| e.patch.is_some()).count(), 1);
    assert_eq!(history.since(8).map(|e| e.len()), Some(1));
    assert_eq!(history.since(7), None);
    let large = json!({"settings": {"kinds": vec!["k".repeat(60); 3]}}).to_string();
    history.put(9, "large", large.as_bytes()).unwrap();
    assert_eq!(history.entries().filter(|e| e.patch.is_some()).count(), 1);
    assert_eq!((history.since(9), history.since(8)), (None, None));
    assert_eq!(history.since(10), Some(vec![]));
}

#[test]
fn a_snapshot_brings_everything_back() {
    let mut history = ConfigurationHistory::default();
    for v in 0..4 {
        history.put(v, &format!("c{v}"), &with_urgency(v)).unwrap();
    }
    let bytes = history.encode();
    let mut back = ConfigurationHistory::decode(&bytes, history.bounds().clone()).unwrap();
    assert_eq!(back, history);
    assert!(back.put(0, "c0", &with_urgency(0)).unwrap().already_applied);
    assert!(matches!(ConfigurationHistory::decode(&bytes[..9], ConfigurationSettings::default()), Err(SnapshotError::Unreadable { .. })));
    let mut other = history.snapshot();
    other.tree = with_urgency(9);
    let decoded = ConfigurationHistory::decode(&minicbor::to_vec(&other).unwrap(), ConfigurationSettings::default());
    assert!(matches!(decoded, Err(SnapshotError::OtherDigest { .. })));
}

#[test]
fn a_preview_applies_nothing() {
    let mut history = ConfigurationHistory::default();
    let tree = json!({"settings": {"urgency": 5}, "regions": {"r": {"zones": {"z": {"queues": {"q": {}}}}}}});
    history.put(0, "a", tree.to_string().as_bytes()).unwrap();
    let before = history.clone();
    let next = json!({"settings": {"urgency": 6}, "regions": {"r": {"zones": {"z": {"queues": {"q": {}}}}}}});
    let (outcome, plan) = history.preview(1, "b", next.to_string().as_bytes()).unwrap();
    assert_eq!(outcome.version, 2);
    assert_eq!(plan.len(), 1);
    assert_eq!(plan[0].to_string(), "settings.urgency: 5 becomes 6 (changes 1 queue)");
    assert_eq!(history, before);
}
