use lifetime_placement::prelude::*;

const ROOM: Room = Room::new(10_000, 10_000);

/// A worker as ranking sees it.
#[derive(Clone, Copy)]
struct Seen(WorkerBandState, u8, Option<Millis>, u64);

impl WorkerView for Seen {
    fn state(&self) -> WorkerBandState {
        self.0
    }
    fn class(&self) -> LifetimeClass {
        LifetimeClass::new(self.1)
    }
    fn exit(&self) -> Option<Millis> {
        self.2
    }
    fn room(&self) -> Room {
        ROOM
    }
    fn free(&self) -> Room {
        Room::new(self.3, self.3)
    }
}

fn order(strategy: PlacementStrategy, class: u8, lifetime: Millis, workers: &[Seen]) -> Vec<usize> {
    let s = PlacementSettings::default();
    let task = RankedTask { room: Room::new(100, 100), class: LifetimeClass::new(class), exit: lifetime };
    let mut out: Vec<usize> = (0..workers.len()).collect();
    out.sort_by_key(|i| (strategy.score(&s, 0, task, &workers[*i]), *i));
    out
}

const EMPTY: WorkerBandState = WorkerBandState::Empty;
const OPEN: WorkerBandState = WorkerBandState::Open;
const RECYCLING: WorkerBandState = WorkerBandState::Recycling;

#[test]
fn nearer_recycling_then_open_then_any_used_then_empty() {
    let far = Some(FOREVER);
    let workers = [
        Seen(EMPTY, 1, None, 10_000),
        Seen(OPEN, 3, far, 5_000),
        Seen(RECYCLING, 1, far, 5_000),
        Seen(OPEN, 1, far, 5_000),
        Seen(RECYCLING, 4, far, 5_000),
        Seen(RECYCLING, 2, far, 5_000),
        Seen(RECYCLING, 3, far, 5_000),
    ];
    assert_eq!(order(PlacementStrategy::Lava, 1, 1_000, &workers), [5, 6, 4, 3, 1, 2, 0]);
}

#[test]
fn recycling_workers_of_a_higher_class_may_be_set_to_rank_alike() {
    let s = PlacementSettings { near_recycling_first: false, ..PlacementSettings::default() };
    let rank = |w: Seen| PlacementStrategy::band_rank(&s, LifetimeClass::new(2), &w);
    let (near, far) = (rank(Seen(RECYCLING, 3, None, 1)), rank(Seen(RECYCLING, 4, None, 1)));
    assert_eq!(near, far);
    assert!(far < rank(Seen(OPEN, 2, None, 1)), "still before an open worker");
    let equal = rank(Seen(RECYCLING, 2, None, 1));
    assert!(rank(Seen(OPEN, 2, None, 1)) < equal, "the shorter-class rule holds all the same");
    assert!(equal < rank(Seen(EMPTY, 1, None, 1)));
}

#[test]
fn a_recycling_worker_of_equal_or_shorter_class_ranks_below_an_open_one_of_the_class() {
    let far = Some(FOREVER);
    let workers = [Seen(RECYCLING, 2, far, 200), Seen(RECYCLING, 1, far, 200), Seen(OPEN, 2, far, 9_000)];
    assert_eq!(order(PlacementStrategy::Lava, 2, 1_000, &workers)[0], 2);
}

#[test]
fn temporal_cost_goes_before_bin_packing_and_is_quantised() {
    // The exits grow by 70 s and by 5 s (and 25 s, the same bucket, on the tighter worker).
    let workers = [Seen(OPEN, 2, Some(30_000), 150), Seen(OPEN, 2, Some(95_000), 9_000), Seen(OPEN, 2, Some(75_000), 300)];
    assert_eq!(order(PlacementStrategy::Lava, 2, 100_000, &workers), [2, 1, 0]);
    assert_eq!(order(PlacementStrategy::Las, 2, 100_000, &workers), [2, 1, 0]);
    assert_eq!(order(PlacementStrategy::BestFit, 2, 100_000, &workers), [0, 2, 1]);
    assert_eq!(order(PlacementStrategy::FirstFit, 2, 100_000, &workers), [0, 1, 2]);
}

#[test]
fn temporal_cost_buckets_are_those_of_the_paper_at_its_own_bounds() {
    let minute = 60_000;
    let s = PlacementSettings::with_first_bound(60 * minute);
    let cost = |minutes: u64| s.temporal_cost(minutes * minute);
    assert_eq!([0, 29, 30, 70, 89, 90, 119, 120].map(cost), [0, 0, 1, 2, 2, 3, 3, 4]);
    assert_eq!([180, 240, 360, 720, 1_440, 10_080, 100_000].map(cost), [5, 6, 7, 8, 9, 10, 10]);
}

#[test]
fn classes_are_bounded_above_in_ratios_of_ten() {
    let s = PlacementSettings::default();
    let class = |ms| s.class_of(ms).number();
    assert_eq!([0, 59_999, 60_000, 599_999, 600_000, 6_000_000, FOREVER].map(class), [1, 1, 2, 2, 3, 4, 4]);
    assert_eq!(LifetimeClass::TOP.risen(), LifetimeClass::TOP);
    assert_eq!(LifetimeClass::SHORTEST.dropped(), LifetimeClass::SHORTEST);
}

#[test]
fn best_fit_looks_at_the_tighter_dimension() {
    let slot = |cpu: u64, mem: u64| {
        let s = PlacementSettings::default();
        let mut f = FleetBands::new(s.clone(), LearnedDistributions::new(&s), PlacementStrategy::BestFit).unwrap();
        f.worker_added(0, 0, ROOM);
        f.task_placed(0, 0, &TaskToPlace::new(1, 1, 1, Room::new(10_000 - cpu, 10_000 - mem), false)).unwrap();
        PlacementStrategy::room_left(Room::new(100, 100), f.worker(0).unwrap())
    };
    assert_eq!(slot(600, 5_100), 50_000);
    assert_eq!(slot(5_100, 400), 30_000);
}

fn fleet(workers: u32) -> FleetBands<LearnedDistributions> {
    let s = PlacementSettings::default();
    let mut f = FleetBands::new(s.clone(), LearnedDistributions::new(&s), PlacementStrategy::Lava).unwrap();
    (0..workers).for_each(|w| f.worker_added(0, w, ROOM));
    f
}

#[test]
fn only_eligible_workers_with_room_are_assigned() {
    let mut f = fleet(3);
    let big = TaskToPlace::new(1, 1, 1, Room::new(9_000, 100), false);
    assert_eq!(f.assign(0, &big, |w| w == 2), Some(2));
    f.task_placed(0, 2, &big).unwrap();
    assert_eq!(f.assign(0, &big, |w| w == 2), None);
    assert_eq!(f.assign(0, &TaskToPlace::new(2, 1, 1, Room::new(1, 10_001), false), |_| true), None);
}

#[test]
fn a_gang_gets_all_its_places_or_none() {
    let mut f = fleet(2);
    let gang = |n: u64, cpu| (0..n).map(|k| TaskToPlace::new(k, 1, 1, Room::new(cpu, 10), false)).collect::<Vec<_>>();
    let places = f.gang_assign(0, &gang(4, 5_000), |_, _| true).unwrap();
    assert_eq!(places, [0, 0, 1, 1]);
    assert_eq!(f.gang_assign(0, &gang(5, 5_000), |_, _| true), None);
    assert_eq!(f.gang_assign(0, &gang(3, 5_000), |_, w| w == 1), None);
    let apart = f.gang_assign(0, &gang(2, 5_000), |n, w| n as u32 == w).unwrap();
    assert_eq!(apart, [0, 1]);
    // Largest first, so that mixed shapes fit where the given order would not.
    let mixed: Vec<_> =
        [3_000, 3_000, 7_000, 7_000].iter().zip(10..).map(|(cpu, k)| TaskToPlace::new(k, 1, 1, Room::new(*cpu, 10), false)).collect();
    let places = f.gang_assign(0, &mixed, |_, _| true).unwrap();
    for (t, w) in mixed.iter().zip(&places) {
        f.task_placed(0, *w, t).unwrap();
    }
    assert!(f.workers().all(|(_, w)| w.free().cpu_millis == 0));
}
