//! Fault schedules: every fault is read, and everything wrong is told with its path.

use fleet_emulator::prelude::*;

fn faults(v: Value) -> Vec<(String, String)> {
    match FaultSchedule::from_json(&v) {
        Err(FleetError::Schedule { faults }) => faults.into_iter().map(|f| (f.path, f.problem)).collect(),
        other => panic!("wanted faults, got {other:?}"),
    }
}

#[test]
fn every_fault_is_read() {
    let whole = |word: &str| match word {
        "heal" | "kill_all_schedulers" | "config_race" => json!({"at_s": 1, "what": word}),
        "rate" => json!({"at_s": 1, "what": word, "rate": 2.5, "for_s": 3}),
        "slow_link" => json!({"at_s": 1, "what": word, "whom": "zone:z1", "delay_ms": 40, "bytes_per_s": 9000}),
        "cut_one_way" => json!({"at_s": 1, "what": word, "whom": "gateway:2", "way": "in", "others": "schedulers"}),
        "behaviour" => json!({"at_s": 1, "what": word, "whom": "worker:w07", "behaviour": {"fail_ratio": 1.0}}),
        "evacuate" => json!({"at_s": 1, "what": word, "whom": "zone:z1"}),
        _ => json!({"at_s": 1, "what": word, "whom": "leader+followers:2"}),
    };
    for word in FaultKind::WORDS {
        let s = FaultSchedule::from_json(&json!([whole(word)])).unwrap_or_else(|e| panic!("{word}: {e}"));
        assert_eq!(s.events[0].kind.word(), word);
    }
    let s = FaultSchedule::from_json(&json!([whole("slow_link"), whole("cut_one_way"), whole("rate")])).unwrap();
    assert_eq!(s.events[0].kind, FaultKind::SlowLink { delay_ms: 40, bytes_per_s: 9000 });
    assert_eq!(s.events[1].kind, FaultKind::CutOneWay { inwards: true });
    assert_eq!(s.events[1].others.as_ref().unwrap().to_string(), "schedulers");
    assert_eq!((s.events[2].kind.clone(), s.ends_s()), (FaultKind::Rate { factor: 2.5 }, 4.0));
}

#[test]
fn events_come_in_order_of_time() {
    let s = FaultSchedule::from_json(&json!([{"at_s": 9, "what": "heal"}, {"at_s": 2.5, "what": "kill", "whom": "leader", "for_s": 20}]))
        .unwrap();
    assert_eq!(s.events.iter().map(|e| e.at_s).collect::<Vec<_>>(), [2.5, 9.0]);
    assert_eq!(s.ends_s(), 22.5);
}

#[test]
fn all_that_is_wrong_is_told_with_its_path() {
    let found = faults(json!([
        {"at_s": -1, "what": "kill", "whom": "leader"},
        {"what": "kill", "whom": "the leader"},
        {"at_s": 1, "what": "explode", "whom": "leader"},
        {"at_s": 1, "what": "kill"},
        {"at_s": 1, "what": "heal", "whom": "leader"},
        {"at_s": 1, "what": "rate"},
        {"at_s": 1, "what": "rate", "rate": "much"},
        {"at_s": 1, "what": "slow_link", "whom": "leader"},
        {"at_s": 1, "what": "cut_one_way", "whom": "leader", "way": "up"},
        {"at_s": 1, "what": "behaviour", "whom": "workers"},
        {"at_s": 1, "what": "behaviour", "whom": "workers", "behaviour": {"fail_rate": 1.0}},
        {"at_s": 1, "what": "evacuate", "whom": "gateway:1"},
        {"at_s": 1, "what": "kill", "whom": "gateway:0", "for": 3, "others": "leader"},
        "kill the leader",
    ]));
    let paths: Vec<&str> = found.iter().map(|(p, _)| p.as_str()).collect();
    assert_eq!(
        paths,
        [
            "[0].at_s",
            "[1].at_s",
            "[1].whom",
            "[2].what",
            "[3].whom",
            "[4].whom",
            "[5].rate",
            "[6].rate",
            "[7].delay_ms",
            "[8].way",
            "[9].behaviour",
            "[10].behaviour",
            "[11].whom",
            "[12].whom",
            "[12].others",
            "[12].for",
            "[13]",
        ],
        "{found:#?}"
    );
    assert_eq!(faults(json!({})), [(String::new(), "wants a list of faults".to_owned())]);
}

#[test]
fn any_json_is_read_or_told_wrong() {
    // No panic on any input that is JSON, and no fault without a word on it.
    bolero::check!().with_iterations(500).for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let v = serde_json::from_str::<Value>(&text).unwrap_or(json!([{"at_s": 1, "what": text.as_ref(), "whom": text.as_ref()}]));
        if let Err(e) = FaultSchedule::from_json(&v) {
            assert!(!e.to_string().is_empty());
        }
    });
}

#[test]
fn every_scenario_reads_and_ends_within_its_load() {
    for d in Deployment::NAMES {
        let d = Deployment::named(d).unwrap();
        for s in Scenario::all().unwrap() {
            let faults = s.schedule(&d).unwrap_or_else(|e| panic!("{}: {e}", s.name));
            assert!(faults.ends_s() < s.seconds, "{} ends in the middle of a fault", s.name);
            assert!(!s.what.is_empty() && !s.must_hold.is_empty());
        }
    }
    let names: Vec<Name> = Scenario::all().unwrap().into_iter().map(|s| s.name).collect();
    for wanted in [
        "leader-killed",
        "leader-frozen",
        "leader-cut",
        "all-schedulers-killed",
        "gateway-killed",
        "gateways-herd",
        "core-split",
        "one-way-cut",
        "rolling-restart",
        "worker-cold",
        "black-hole-workers",
        "zone-evacuated",
        "config-race",
        "crowd",
        "disk-lost",
        "second-loss",
    ] {
        assert!(names.iter().any(|n| n == wanted), "{wanted}");
    }
    assert!(Scenario::named("leader-kiled").unwrap_err().to_string().contains("leader-killed"));
}

#[test]
fn a_soak_is_drawn_from_its_seed_and_leaves_a_calm_end() {
    let d = Deployment::named("thaali").unwrap();
    let all: Vec<FaultSchedule> = (0..50).map(|seed| soak_schedule(seed, &d, 25.0)).collect();
    assert!(all.iter().all(|s| s.events.len() >= 7 && s.ends_s() <= 21.0));
    let words: BTreeSet<&str> = all.iter().flat_map(|s| &s.events).map(|e| e.kind.word()).collect();
    for word in ["restart", "hup", "kill", "freeze", "cut", "cut_one_way", "reset_links", "config_race", "cold_worker", "drain_worker"] {
        assert!(words.contains(word), "{word}");
    }
    assert!(all.iter().all(|s| s.events.iter().any(|e| e.whom.is_some() || matches!(e.kind, FaultKind::ConfigRace { .. }))));
    assert_ne!(all[0], all[1]);
}
