use lifetime_placement::prelude::*;

const FIRST_BOUND: Millis = 60_000;

fn shape() -> FleetShape {
    FleetShape { length: 300.0, ..FleetShape::new("small", 12, 64) }
}

#[test]
fn traces_have_the_shape_of_the_paper() {
    let long = FleetShape { length: 4_000.0, ..FleetShape::new("long", 48, 64) };
    let trace = Trace::generate(&long, FIRST_BOUND, 3);
    let cost = |short: bool| {
        let some = trace.tasks().filter(|(_, lifetime)| (*lifetime < FIRST_BOUND) == short);
        some.fold((0.0, 0.0), |(n, sum), (t, lifetime)| (n + 1.0, sum + t.room.cpu_millis as f64 * *lifetime as f64))
    };
    let (short, long) = (cost(true), cost(false));
    let (tasks, time) = (short.0 / (short.0 + long.0), short.1 / (short.1 + long.1));
    assert!((0.87..0.89).contains(&tasks), "share of tasks below the first bound: {tasks}");
    assert!((0.015..0.025).contains(&time), "their share of core time: {time}");
}

#[test]
fn a_replay_gives_the_same_report_every_time() {
    let s = PlacementSettings::default();
    let trace = Trace::generate(&shape(), FIRST_BOUND, 1);
    let run = || Replay::run(&trace, &shape(), &s, LearnedDistributions::new(&s), PlacementStrategy::Lava).unwrap();
    let report = run();
    assert_eq!(report, run());
    assert_eq!(report.tasks, trace.tasks().count() as u64, "every task found a place");
    assert!(report.empty_pct > 0.0 && report.cpu_used_pct > 20.0, "{report:?}");
}

#[test]
fn inflation_strands_what_no_task_of_the_mix_can_take() {
    let trace = Trace::generate(&shape(), FIRST_BOUND, 1);
    let inflation = Inflation::of(&trace);
    let room = Room::new(16_000, 65_536);
    let (cpu, _) = inflation.stranded(&[(room, Room::new(16_000, 100))]);
    assert!(cpu > 0.999, "processors without memory are stranded: {cpu}");
    let (cpu, memory) = inflation.stranded(&[(room, room)]);
    assert!(cpu < 0.5 && memory < 0.5, "{cpu} {memory}");
}

#[test]
fn wrong_predictions_are_made_for_the_asked_share_and_never_taught() {
    let trace = Trace::generate(&shape(), FIRST_BOUND, 1);
    let (right, wrong) = (trace.oracle(), trace.mistaken(trace.oracle(), 0.3, 9));
    let differ = |(t, _): &&(TaskToPlace, Millis)| right.remaining_ms(&t.features, 0) != wrong.remaining_ms(&t.features, 0);
    let share = trace.tasks().filter(differ).count() as f64 / trace.tasks().count() as f64;
    assert!((0.27..0.33).contains(&share), "{share}");
}
