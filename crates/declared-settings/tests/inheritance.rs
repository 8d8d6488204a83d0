//! The tree: faults with paths, inheritance with origins, sharing.

use declared_settings::prelude::*;

fn tree(value: Value) -> SettingsTree {
    SettingsTree::from_value(&value).unwrap()
}

fn faults(json: &str) -> Vec<String> {
    SettingsTree::parse(json.as_bytes()).unwrap_err().faults.iter().map(|f| f.to_string()).collect()
}

fn two_regions() -> SettingsTree {
    tree(json!({
        "settings": {"urgency": 1, "share": 2, "cap_tasks": 5},
        "regions": {
            "gujarat": {
                "settings": {"urgency": 2},
                "zones": {
                    "z1": {
                        "settings": {"share": 3.5},
                        "queues": {
                            "table-holds": {"settings": {"urgency": 9, "enabled": false}},
                            "bulk": {},
                        },
                    },
                    "z2": {"queues": {"bulk": {}}},
                },
            },
            "harwick": {"zones": {"z3": {"queues": {"bulk": {}}}}},
        },
    }))
}

#[test]
fn each_level_goes_over_the_one_above() {
    let tree = two_regions();
    let holds = tree.effective("gujarat", "z1", "table-holds").unwrap();
    assert_eq!(holds.settings, QueueSettings { urgency: 9, enabled: false, share: 3.5, cap_tasks: 5, ..QueueSettings::default() });
    let origin = |name| holds.origins.get(name);
    assert_eq!(origin("urgency"), Some(SettingLevel::Queue));
    assert_eq!(origin("share"), Some(SettingLevel::Zone));
    assert_eq!(origin("cap_tasks"), Some(SettingLevel::Fleet));
    assert_eq!(origin("retention_s"), Some(SettingLevel::Default));
    assert_eq!(origin("nothing"), None);

    let bulk = tree.effective("gujarat", "z2", "bulk").unwrap();
    assert_eq!((bulk.settings.urgency, bulk.settings.share), (2, 2.0));
    assert_eq!(bulk.origins.get("urgency"), Some(SettingLevel::Region));
    assert_eq!(tree.effective_zone("z3").unwrap().settings.urgency, 1);
    assert!(tree.effective("harwick", "z1", "bulk").is_none());
    assert!(tree.effective_zone("z4").is_none());
}

#[test]
fn the_worked_out_tree_agrees_and_shares() {
    let tree = two_regions();
    let effective = EffectiveTree::new(&tree);
    let places: Vec<_> = tree.queues().collect();
    assert_eq!(
        places,
        [("gujarat", "z1", "bulk"), ("gujarat", "z1", "table-holds"), ("gujarat", "z2", "bulk"), ("harwick", "z3", "bulk"),]
    );
    assert_eq!(effective.iter().count(), places.len());
    for (region, zone, queue) in places {
        let here = effective.get(zone, queue).unwrap();
        assert_eq!(**here, tree.effective(region, zone, queue).unwrap(), "{zone} {queue}");
        let inherited = &effective.zone(zone).unwrap().inherited;
        assert_eq!(**inherited, tree.effective_zone(zone).unwrap());
        assert_eq!(Arc::ptr_eq(here, inherited), queue == "bulk");
    }
    assert_eq!(effective.digest(), tree.digest());
}

#[test]
fn every_fault_has_its_path() {
    let json = r#"{
        "setings": {},
        "settings": {"urgency": 10, "urgency": 1, "share": 0},
        "regions": {
            "gujarat": {"zones": {
                "z1": {"queues": {
                    "table-holds": {"settings": {"urgency": "x", "urgancy": 1}, "zones": {}},
                    "Bad_Name": {"settings": {"kinds": ["A"]}},
                    "q": 5,
                    "q": {}
                }},
                "z1": {}
            }},
            "harwick": {"zones": {"z1": {"settings": []}, "": {}}},
            "third": {"zones": [1]}
        }
    }"#;
    let z1 = "regions.gujarat.zones.z1";
    let expected = [
        "setings: this level has no such field; is \"settings\" meant?".to_owned(),
        "settings.urgency: 10 is outside of 0 to 9".to_owned(),
        "settings.share: 0.0 is outside of above 0, up to 1000000".to_owned(),
        format!("{z1}.queues.table-holds.settings.urgency: expected whole number, found the text \"x\""),
        format!("{z1}.queues.table-holds.settings.urgancy: no setting has this name; is \"urgency\" meant?"),
        format!("{z1}.queues.table-holds.zones: this level has no such field"),
        format!("{z1}.queues.Bad_Name: \"Bad_Name\" is no name: 1 to 63 of the characters a-z, 0-9 and \"-\" make one"),
        format!("{z1}.queues.Bad_Name.settings.kinds: \"A\" is no name: 1 to 63 of the characters a-z, 0-9 and \"-\" make one"),
        format!("{z1}.queues.q: expected an object, found 5"),
        format!("{z1}.queues.q: stands here twice"),
        format!("{z1}: stands here twice"),
        format!("regions.harwick.zones.z1: the zone's name is taken by {z1}"),
        "regions.harwick.zones.z1.settings: expected an object, found a list".to_owned(),
        "regions.harwick.zones.: \"\" is no name: 1 to 63 of the characters a-z, 0-9 and \"-\" make one".to_owned(),
        "regions.third.zones: expected an object, found a list".to_owned(),
    ];
    assert_eq!(faults(json), expected);
}

#[test]
fn double_settings_are_a_fault() {
    assert_eq!(
        faults(r#"{"settings":{"urgency":1,"urgency":1},"settings":{}}"#),
        ["settings.urgency: stands here twice", "settings: stands here twice"]
    );
}

#[test]
fn bounds_are_typed() {
    let bounds = ConfigurationSettings { most_tree_bytes: 2000, most_queues: 1, most_faults: 2, ..ConfigurationSettings::default() };
    let read = |json: &str| SettingsTree::parse_within(json.as_bytes(), &bounds).unwrap_err().faults;
    assert_eq!(read(&" ".repeat(2001)), [SettingFault::new("", SettingProblem::TooLarge { most: 2000, found: 2001 })]);
    assert_eq!(read(&"[".repeat(1000)), [SettingFault::new("", SettingProblem::TooDeep { most: 64 })]);
    assert_eq!(
        read(r#"{"regions":{"r":{"zones":{"z":{"queues":{"a":{},"b":{}}}}}}}"#),
        [SettingFault::new("", SettingProblem::TooMany { most: 1, found: 2 })]
    );
    let many = read(r#"{"a":1,"b":1,"c":1,"d":1}"#);
    assert_eq!(many.len(), 3);
    assert_eq!(many[2].problem, SettingProblem::Unlisted { count: 2 });
    assert!(matches!(read("{"), f if matches!(f[0].problem, SettingProblem::NotJson { .. })));
    assert!(matches!(read("{} {}"), f if matches!(f[0].problem, SettingProblem::NotJson { .. })));
    assert!(SettingsTree::parse(b"{\"\xff\":1}").is_err());
    let small = ConfigurationSettings { most_value_bytes: 64, ..bounds.clone() };
    let long = format!(r#"{{"settings":{{"kinds":["{}"]}}}}"#, "k".repeat(61));
    assert_eq!(
        SettingsTree::parse_within(long.as_bytes(), &small).unwrap_err().faults,
        [SettingFault::new("settings.kinds", SettingProblem::TooLarge { most: 64, found: 65 })]
    );
    assert!(SettingsTree::parse_within(long.as_bytes(), &bounds).is_ok());
}

#[test]
fn one_tree_has_one_canonical_form() {
    let a = br#"{ "settings": {"share": 1, "cap_tasks": 2}, "regions": {"r": {"zones": {}, "settings": {}}} }"#;
    let b = br#"{"regions":{"r":{}},"settings":{"cap_tasks":2,"share":1.0}}"#;
    let (a, b) = (SettingsTree::parse(a).unwrap(), SettingsTree::parse(b).unwrap());
    assert_eq!(a.canonical_json(), br#"{"regions":{"r":{}},"settings":{"cap_tasks":2,"share":1.0}}"#);
    assert_eq!((a.digest(), &a), (b.digest(), &b));
    let empty = SettingsTree::parse(b"{}").unwrap();
    assert_eq!(empty, SettingsTree::default());
    // SHA-256 of the two bytes `{}`.
    assert_eq!(empty.digest().to_string(), "44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a");
}

#[test]
fn a_zone_that_moves_to_another_region_goes_and_comes() {
    let in_region = |r: &str| tree(json!({"regions": {r: {"zones": {"z": {"queues": {"q": {}}}}}}}));
    let lines: Vec<String> = plan(&in_region("a"), &in_region("b")).iter().map(PlannedChange::to_string).collect();
    assert_eq!(lines, ["regions.a: is removed (changes 1 queue)", "regions.b: is added (changes 1 queue)"]);
}
