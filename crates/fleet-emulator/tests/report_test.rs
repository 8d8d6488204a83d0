//! What a report holds, and how two are put side by side.

use fleet_emulator::prelude::*;

/// A report of a run as it may be.
fn report(seed: u64, outage_ms: Millis) -> Report {
    let layout = Layout::new(Deployment::named("harwick").unwrap(), 9);
    let mut r = Report {
        deployment: "harwick".into(),
        scenario: "leader-killed".into(),
        seed,
        rate: 1.0,
        duration_s: 40.0,
        jobs_accepted: 600,
        outage_ms,
        figure: Some("outage_ms".into()),
        violations: Rule::ALL.iter().map(|r| (r.name().to_owned(), 0)).collect(),
        ..Report::default()
    };
    let link = |a: &str, b: &str| (layout.by_name(a).unwrap().id, layout.by_name(b).unwrap().id);
    let links = LinkTable::default();
    let before = TrafficSnapshot::take(&links);
    for ((a, b), bytes) in [(link("s1", "s2"), 100), (link("g1", "s1"), 50), (link("g1", "w01"), 20), (link("callers", "g1"), 10)] {
        links.link(a, b).count(bytes);
    }
    before.figures_since(&links, &layout, 2.0, &mut r.daemons);
    r.total(&layout);
    r
}

#[test]
fn a_report_has_all_its_keys_and_reads_back() {
    let r = report(7, 900);
    let v = json!(r);
    for key in [
        "jobs_accepted",
        "jobs_finished",
        "violations",
        "start_latency_ms",
        "visible_ms",
        "config_in_force_ms",
        "drain_ms",
        "cancel_ms",
        "outage_ms",
        "daemons",
        "seed",
        "scenario",
        "duration_s",
        "all_schedulers",
        "all_gateways",
        "faults",
        "findings",
    ] {
        assert!(v.get(key).is_some(), "{key}");
    }
    for rule in Rule::ALL {
        assert_eq!(v["violations"][rule.name()], 0);
    }
    for key in ["p50", "p99", "max"] {
        assert!(v["start_latency_ms"]["urgent"][key].is_u64() && v["start_latency_ms"]["all"][key].is_u64());
    }
    for key in ["cpu_share_of_core", "rss_mb", "control_bytes_per_s"] {
        assert!(v["daemons"]["s1"][key].is_number(), "{key}");
    }
    assert_eq!(serde_json::from_value::<Report>(v).unwrap(), r);
}

#[test]
fn bytes_go_to_both_ends_by_what_they_are_for() {
    let r = report(7, 900);
    let of = |n: &str| r.daemons[n].clone();
    assert_eq!((of("s1").replication_bytes_per_s, of("s1").control_bytes_per_s), (50.0, 75.0));
    assert_eq!((of("s2").control_bytes_per_s, of("s2").worker_bytes_per_s), (50.0, 0.0));
    assert_eq!((of("g1").control_bytes_per_s, of("g1").worker_bytes_per_s, of("g1").caller_bytes_per_s), (25.0, 10.0, 5.0));
    assert_eq!((r.all_schedulers.control_bytes_per_s, r.all_gateways.control_bytes_per_s), (125.0, 25.0));
    assert!(!r.daemons.contains_key("w01"));
}

#[test]
fn a_broken_rule_shows_in_the_count_and_in_the_words() {
    let mut r = report(7, 900);
    assert_eq!(r.violation_count(), 0);
    assert!(r.to_string().contains("this scenario's figure: outage_ms = 900.0"), "{r}");
    assert!(!r.to_string().contains("BROKEN"));
    r.violations.insert(Rule::RoomExceeded.name().to_owned(), 2);
    assert_eq!(r.violation_count(), 2);
    assert!(r.to_string().contains("BROKEN room_exceeded: 2 times"));
}

#[test]
fn every_scenarios_figure_is_in_a_report() {
    for s in Scenario::all().unwrap() {
        let r = Report { figure: Some(s.figure.clone()), ..Report::default() };
        assert!(r.own_figure().is_some(), "{}: {}", s.name, s.figure);
    }
}

#[test]
fn compare_shows_mean_spread_and_whether_both_are_apart() {
    let side = |all: &[(u64, Millis)]| all.iter().map(|&(s, o)| json!(report(s, o))).collect::<Vec<_>>();
    let c = compare(&side(&[(1, 100), (2, 300)]), &side(&[(1, 500), (2, 700)]));
    let of = |path: &str| c.iter().find(|c| c.path == path).unwrap_or_else(|| panic!("{path}"));
    let o = of("outage_ms");
    assert_eq!(o.a, Some(Spread { count: 2, mean: 200.0, least: 100.0, most: 300.0 }));
    assert_eq!((o.ratio(), o.is_apart()), (Some(3.0), true));
    assert!(o.to_string().contains("200.000 [100.000 300.000]") && o.to_string().contains("apart"), "{o}");
    assert!(!of("jobs_accepted").is_apart());
    assert!(c.iter().all(|c| c.path != "seed" && !c.path.starts_with("daemons")));
    assert!(c.iter().any(|c| c.path == "all_gateways.control_bytes_per_s"));
    let c = compare(&side(&[(1, 100)]), &side(&[(1, 500)]));
    assert!(c.iter().all(|c| !c.is_apart()), "one report a side has no spread");
    // What only one side has is shown all the same.
    let c = compare(&[json!({"a": 1})], &[json!({"b": {"c": 2}})]);
    assert_eq!(
        c.iter().map(|c| (c.path.as_str(), c.a.is_some(), c.b.is_some())).collect::<Vec<_>>(),
        [("a", true, false), ("b.c", false, true)]
    );
}

#[test]
fn command_lines_are_read_or_told_wrong() {
    let read = |s: &str| FleetCommand::read(&s.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
    let Ok(FleetCommand::Run(r)) = read("thaali --for 12 --rate 0.5 --net 40 --drain-every 0 --folder run") else { panic!() };
    assert_eq!((r.seconds, r.load.rate, r.net, r.scenario.as_str()), (12.0, 0.5, 40, "none"));
    assert!(r.load.extra.windows(2).any(|w| w == ["--drain-every", "0"]));
    let Ok(FleetCommand::Compare(a, b)) = read("compare a.json,b.json c.json") else { panic!() };
    assert_eq!((a.len(), b.len()), (2, 1));
    assert!(matches!(read("scenarios"), Ok(FleetCommand::Scenarios)));
    assert!(matches!(read("--help"), Ok(FleetCommand::Help(_))));
    for bad in [
        "",
        "thali",
        "thaali --scenario leader",
        "thaali --seed x",
        "thaali --rate -1",
        "thaali --scenario none --faults f",
        "thaali --what",
        "compare a",
    ] {
        assert!(read(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn the_deployments_are_those_of_the_stand_in_callers() {
    for name in Deployment::NAMES {
        let d = Deployment::named(name).unwrap();
        let p = caller_stand_in::Profile::named(name).unwrap();
        assert_eq!(p.regions(), d.regions.iter().cloned().collect(), "{name}");
        assert!(p.streams(100).iter().all(|s| s.service == d.service), "{name}");
        assert!(first_tree(&d).unwrap()["regions"].is_object());
    }
}
