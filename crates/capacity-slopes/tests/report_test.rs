use capacity_slopes::prelude::*;

#[global_allocator]
static HEAP: CountingAllocator = CountingAllocator;

#[test]
fn a_line_is_found_and_what_is_off_it_is_told() {
    let f = Fit::of(&[(0.0, 1.0), (10.0, 21.0), (20.0, 41.0), (30.0, 61.0)]).unwrap_or_else(|e| panic!("{e}"));
    assert!((f.slope - 2.0).abs() < 1e-9 && (f.intercept - 1.0).abs() < 1e-9 && f.residual < 1e-9);
    assert!((f.at(100.0) - 201.0).abs() < 1e-9);
    let bent = Fit::of(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0), (3.0, 3.0)]).unwrap_or_else(|e| panic!("{e}"));
    // By hand: the line is 0.6 + 0.6 x, the squares off it sum to 7.2.
    assert!((bent.slope - 0.6).abs() < 1e-9 && (bent.residual - 1.8f64.sqrt()).abs() < 1e-9);
    assert!((bent.residual_ratio - 1.8f64.sqrt() / 3.0).abs() < 1e-9);
}

#[test]
fn one_size_makes_no_line() {
    assert!(matches!(Fit::of(&[(1.0, 2.0), (1.0, 3.0)]), Err(CapacityError::NoLine { points: 2 })));
    assert!(matches!(Fit::of(&[]), Err(CapacityError::NoLine { points: 0 })));
}

#[test]
fn slopes_that_must_grow_grow_and_are_written() {
    let report = measure(&[Variable::Workers, Variable::JobsKept], 1, |_| {}).unwrap_or_else(|e| panic!("{e}"));
    let slope = |v, r, q| report.slope(v, r, q).map_or(f64::NAN, |s| s.fit.slope);
    for role in Role::ALL {
        assert!(slope(Variable::Workers, role, Quantity::Held) > 100.0, "{role:?}");
        assert!(slope(Variable::JobsKept, role, Quantity::Held) > 100.0, "{role:?}");
    }
    // Four gateways share the workers: each answers one hold in five seconds, both ways.
    let holds = slope(Variable::Workers, Role::Gateway, Quantity::WorkerMessages);
    assert!((holds - 2.0 / 5.0 / 4.0).abs() < 0.01, "{holds}");
    assert!(slope(Variable::Workers, Role::Gateway, Quantity::WorkerBytes) > 0.0);
    assert!(report.slopes.iter().all(|s| s.points.len() >= 4));
    let table = report.markdown();
    assert!(table.contains("| workers | gateway | HTTP messages with workers, 1/s | 0.100 |"), "{table}");

    let folder = std::env::temp_dir().join(format!("capacity-slopes-{}", std::process::id()));
    report.write(&folder).unwrap_or_else(|e| panic!("{e}"));
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap_or_default();
    assert_eq!(read("slopes.md"), table);
    let json: Value = serde_json::from_str(&read("slopes.json")).unwrap_or_default();
    assert_eq!(json["slopes"].as_array().map(Vec::len), Some(report.slopes.len()));
    for v in [Variable::Workers, Variable::JobsKept] {
        let svg = read(&format!("{}.svg", v.word()));
        assert!(svg.starts_with("<svg") && svg.matches("<circle").count() >= 5 * 3, "{}", v.word());
    }
    std::fs::remove_dir_all(&folder).unwrap_or_default();
}

#[test]
fn what_is_worked_out_adds_the_parts_up() {
    let report = measure(&[Variable::JobsKept], 1, |_| {}).unwrap_or_else(|e| panic!("{e}"));
    let base = FleetDriver::new(FleetSize::default()).and_then(FleetDriver::read).unwrap_or_else(|e| panic!("{e}"));
    let wanted = FleetSize { jobs_kept: 6_000, ..FleetSize::default() };
    let whole = FleetDriver::new(wanted.clone()).and_then(FleetDriver::read).unwrap_or_else(|e| panic!("{e}"));
    let all = report.worked_out(&base, &wanted, Some(&whole));
    let held = all.iter().find(|w| w.role == Role::Leader && w.quantity == Quantity::Held).unwrap_or_else(|| panic!("none"));
    assert!((held.parts.iter().map(|p| p.1).sum::<f64>() - held.sum).abs() < 1.0);
    let measured = held.whole.unwrap_or_default();
    assert!((held.sum - measured).abs() < 0.25 * measured, "{} worked out, {measured} measured", held.sum);
}
