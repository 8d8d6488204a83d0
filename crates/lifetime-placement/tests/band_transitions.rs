use lifetime_placement::prelude::*;

const ROOM: Room = Room::new(10_000, 10_000);

/// Predicts that a task of kind k lasts k ms in all, and as long again once it outlived that.
struct ByKind;

impl LifetimePredictor for ByKind {
    fn remaining_ms(&self, f: &TaskFeatures, uptime: Millis) -> Prediction {
        let whole = if f.until_cancelled { FOREVER } else { f.kind };
        Prediction::certain(if uptime < whole { whole - uptime } else { uptime })
    }
    fn learn(&mut self, _: &TaskFeatures, _: Millis, _: bool) {}
}

type Fleet = FleetBands<ByKind>;

fn fleet(workers: u32) -> Fleet {
    let mut f = FleetBands::new(PlacementSettings::default(), ByKind, PlacementStrategy::Lava).unwrap();
    (0..workers).for_each(|w| f.worker_added(0, w, ROOM));
    f
}

fn task(key: TaskKey, lifetime: Millis, cpu: u64) -> TaskToPlace {
    TaskToPlace::new(key, 1, lifetime, Room::new(cpu, 100), false)
}

fn band(f: &Fleet, w: WorkerIndex) -> (WorkerBandState, u8, Vec<TaskKey>) {
    let b = f.worker(w).unwrap().band();
    (b.state, b.class.number(), b.residuals.iter().copied().collect())
}

#[test]
fn a_worker_opens_at_the_class_of_its_first_task_and_recycles_above_the_threshold() {
    let mut f = fleet(1);
    assert_eq!(band(&f, 0).0, WorkerBandState::Empty);
    f.task_placed(1_000, 0, &task(1, 300_000, 4_500)).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Open, 2, vec![]));
    assert_eq!(f.worker(0).unwrap().band().time_budget_ends, 1_000 + 660_000);
    f.task_placed(2_000, 0, &task(2, 300_000, 4_500)).unwrap();
    assert_eq!(band(&f, 0).0, WorkerBandState::Open, "exactly nine tenths is not above");
    f.task_placed(3_000, 0, &task(3, 300_000, 1)).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 2, vec![1, 2, 3]));
}

#[test]
fn memory_alone_fills_a_worker() {
    let mut f = fleet(1);
    let t = TaskToPlace::new(1, 1, 1_000, Room::new(1, 9_500), false);
    f.task_placed(0, 0, &t).unwrap();
    assert_eq!(band(&f, 0).0, WorkerBandState::Recycling);
}

#[test]
fn when_the_residuals_exit_the_class_drops_and_the_rest_become_residual() {
    let mut f = fleet(1);
    f.task_placed(0, 0, &task(1, 3_000_000, 9_500)).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 3, vec![1]));
    f.task_placed(10, 0, &task(2, 300_000, 200)).unwrap();
    f.task_placed(20, 0, &task(3, 30_000, 200)).unwrap();
    f.task_ended(1_000, 0, 1, TaskOutcome::Finished).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 2, vec![2, 3]));
    assert_eq!(f.worker(0).unwrap().band().time_budget_ends, 661_000, "the new class has its own budget");
    f.task_placed(2_000, 0, &task(4, 30_000, 200)).unwrap();
    f.task_ended(3_000, 0, 2, TaskOutcome::Finished).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 2, vec![3]), "one residual is left");
    f.task_ended(4_000, 0, 3, TaskOutcome::Finished).unwrap();
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 1, vec![4]));
    f.task_ended(5_000, 0, 4, TaskOutcome::Finished).unwrap();
    assert_eq!(band(&f, 0).0, WorkerBandState::Empty);
    assert_eq!(f.worker(0).unwrap().used(), Room::default());
}

#[test]
fn past_its_time_budget_a_worker_rises_at_the_moment_it_was_over() {
    let mut f = fleet(1);
    f.task_placed(0, 0, &task(1, 30_000, 500)).unwrap();
    f.task_placed(5, 0, &task(2, 30_000, 500)).unwrap();
    f.tick(65_999);
    assert_eq!(band(&f, 0).1, 1);
    f.tick(66_000);
    assert_eq!(band(&f, 0), (WorkerBandState::Recycling, 2, vec![1, 2]));
    f.tick(700_000);
    assert_eq!(f.worker(0).unwrap().band().time_budget_ends, 66_000 + 660_000, "not counted from the late tick");
    f.tick(726_000);
    assert_eq!(band(&f, 0).1, 3);
}

#[test]
fn the_top_class_has_none_to_rise_to_and_its_budget_renews() {
    let mut f = fleet(1);
    let forever = TaskToPlace::new(1, 1, 5, Room::new(100, 100), true);
    f.task_placed(0, 0, &forever).unwrap();
    assert_eq!(band(&f, 0).1, 4, "runs until cancelled: top class by rule");
    f.tick(66_000_000);
    assert_eq!(band(&f, 0).1, 4);
    assert_eq!(f.worker(0).unwrap().band().time_budget_ends, 2 * 66_000_000);
}

#[test]
fn a_worker_exit_is_repredicted_by_uptime() {
    let mut f = fleet(1);
    f.task_placed(0, 0, &task(1, 30_000, 100)).unwrap();
    assert_eq!(f.worker(0).unwrap().exit(), Some(30_000));
    f.tick(48_000);
    assert_eq!(f.worker(0).unwrap().exit(), Some(96_000), "it outlived its first prediction");
}

#[test]
fn one_shot_predictions_are_never_revised() {
    let s = PlacementSettings::default();
    let mut f = FleetBands::new(s, OneShot::new(ByKind), PlacementStrategy::Lava).unwrap();
    f.worker_added(0, 0, ROOM);
    f.task_placed(0, 0, &task(1, 30_000, 100)).unwrap();
    f.tick(48_000);
    assert_eq!(f.worker(0).unwrap().exit(), Some(48_000), "due at once, for ever");
}

#[test]
fn a_start_proven_late_shortens_the_uptime_within_bounds_only() {
    let mut f = fleet(1);
    f.task_placed(1_000, 0, &task(1, 30_000, 100)).unwrap();
    f.task_placed(1_000, 0, &task(2, 30_000, 100)).unwrap();
    f.task_started(3_000, 0, 1).unwrap();
    f.task_started(50_000, 0, 2).unwrap();
    let started = |k| f.worker(0).unwrap().tasks()[&k].started_at;
    assert_eq!((started(1), started(2)), (3_000, 7_000));
}

#[test]
fn faulty_events_have_typed_errors() {
    let mut f = fleet(1);
    f.task_placed(0, 0, &task(1, 30_000, 100)).unwrap();
    let again = f.task_placed(0, 0, &task(1, 30_000, 100));
    assert!(matches!(again, Err(PlacementError::TaskAlreadyPlaced { worker: 0, key: 1 })));
    assert!(matches!(f.task_placed(0, 9, &task(2, 1, 1)), Err(PlacementError::UnknownWorker { worker: 9 })));
    let end = f.task_ended(0, 0, 7, TaskOutcome::Finished);
    assert!(matches!(end, Err(PlacementError::UnknownTask { worker: 0, key: 7 })));
    f.worker_removed(5, 0).unwrap();
    assert!(f.worker(0).is_none());
}
