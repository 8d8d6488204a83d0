use lifetime_placement::prelude::*;

fn features(queue: u64, kind: u64, cpu: u64) -> TaskFeatures {
    TaskToPlace::new(0, queue, kind, Room::new(cpu, 64), false).features
}

fn learned() -> LearnedDistributions {
    LearnedDistributions::new(&PlacementSettings::default())
}

#[test]
fn cold_start_falls_back_on_the_set_class_and_then_on_the_uptime() {
    let p = learned();
    let f = features(1, 1, 100);
    assert_eq!(p.remaining_ms(&f, 0), Prediction::fallback(330_000));
    assert_eq!(p.remaining_ms(&f, 1_000_000).expected_ms, 1_000_000, "as long again as it has lasted");
}

#[test]
fn prediction_backs_off_from_kind_to_shape_to_queue_to_all() {
    let mut p = learned();
    let near = |p: &LearnedDistributions, f, want: u64| {
        let got = p.remaining_ms(&f, 0).expected_ms;
        assert!(got.abs_diff(want) <= want / 50, "{got} is not near {want}");
    };
    for _ in 0..50 {
        p.learn(&features(1, 1, 100), 1_000, false);
        p.learn(&features(1, 2, 100), 10_000, false);
        p.learn(&features(1, 3, 900), 100_000, false);
        p.learn(&features(2, 4, 50), 1_000_000, false);
    }
    near(&p, features(1, 1, 100), 1_000);
    near(&p, features(1, 9, 100), 5_500);
    near(&p, features(1, 9, 777), 37_000);
    near(&p, features(9, 9, 777), 277_750);
}

#[test]
fn remaining_lifetime_is_conditional_on_uptime() {
    let mut p = learned();
    let f = features(1, 1, 100);
    (0..90).for_each(|_| p.learn(&f, 5_000, false));
    (0..10).for_each(|_| p.learn(&f, 2_000_000, false));
    let at = |u| p.remaining_ms(&f, u).expected_ms;
    assert!((150_000..260_000).contains(&at(0)), "{}", at(0));
    assert!((1_900_000..2_050_000).contains(&at(60_000)), "{}", at(60_000));
    assert!((900_000..1_100_000).contains(&at(1_000_000)), "{}", at(1_000_000));
    assert_eq!(at(30_000_000), 30_000_000, "none outlived that");
}

#[test]
fn tasks_cut_short_lengthen_the_estimate() {
    let (mut cut, mut blind) = (learned(), learned());
    let f = features(1, 1, 100);
    for n in 0..64 {
        for p in [&mut cut, &mut blind] {
            p.learn(&f, if n % 2 == 0 { 4_000 } else { 400_000 }, false);
        }
        cut.learn(&f, 5_000, true);
    }
    let (cut, blind) = (cut.remaining_ms(&f, 0).expected_ms, blind.remaining_ms(&f, 0).expected_ms);
    assert!(cut > blind * 5 / 4, "{cut} against {blind}");
}

#[test]
fn tasks_cut_short_leave_the_set_at_risk_where_they_were_cut() {
    let mut p = learned();
    let f = features(1, 1, 100);
    for _ in 0..8 {
        p.learn(&f, 1_000, false);
        p.learn(&f, 1_000, true);
        p.learn(&f, 100_000, false);
    }
    // 8 of 24 end at 1 s; of the 8 that are known to go on, all end at 100 s.
    let got = p.remaining_ms(&f, 0).expected_ms;
    assert!(got.abs_diff(67_000) <= 5, "{got}");
}

#[test]
fn a_task_that_runs_until_cancelled_has_no_remaining_lifetime_and_teaches_none() {
    let mut p = learned();
    let f = TaskFeatures { until_cancelled: true, ..features(1, 1, 100) };
    (0..100).for_each(|_| p.learn(&f, 1_000, false));
    assert_eq!(p.key_count(), 0);
    assert_eq!(p.remaining_ms(&f, 5).expected_ms, FOREVER);
}

#[test]
fn keys_are_bounded_and_the_common_ones_stay() {
    let s = PlacementSettings { most_keys: 16, ..PlacementSettings::default() };
    let mut p = LearnedDistributions::new(&s);
    for k in 0..1_000 {
        p.learn(&features(1, 1, 100), 700_000, false);
        p.learn(&features(k, k, k), 1_000, false);
    }
    assert_eq!(p.key_count(), 16);
    let kept = p.remaining_ms(&features(1, 1, 100), 0);
    assert!(kept.expected_ms.abs_diff(700_000) < 20_000 && kept.samples > 100.0, "{kept:?}");
}

#[test]
fn old_lifetimes_fade() {
    let mut p = learned();
    let f = features(1, 1, 100);
    (0..2_000).for_each(|_| p.learn(&f, 1_000_000, false));
    (0..4_000).for_each(|_| p.learn(&f, 1_000, false));
    let now = p.remaining_ms(&f, 0).expected_ms;
    assert!(now < 200_000, "{now}");
}
