use bolero::TypeGenerator;
use lifetime_placement::prelude::*;

/// One step of a random history: (kind of step, worker or choice, size, wait).
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step(u8, u8, u8, u16);

type Fleet = FleetBands<LearnedDistributions>;

const WORKERS: u32 = 4;

fn new_fleet() -> Fleet {
    // A short first class, so that budgets run out within a history.
    let s = PlacementSettings { least_samples: 2.0, ..PlacementSettings::with_first_bound(1_000) };
    let p = LearnedDistributions::new(&s);
    FleetBands::new(s, p, PlacementStrategy::Lava).unwrap()
}

/// Turns steps into valid events on the way through a fleet, calling `check` after each.
fn play(steps: &[Step], mut check: impl FnMut(&Fleet)) -> (Fleet, Vec<(Millis, PlacementEvent)>) {
    let (mut f, mut log, mut now, mut key) = (new_fleet(), Vec::new(), 0, 0);
    let mut add = |f: &mut Fleet, now, e| {
        f.fold(now, &e).unwrap();
        check(f);
        log.push((now, e));
    };
    for worker in 0..WORKERS {
        add(&mut f, 0, PlacementEvent::WorkerAdded { worker, room: Room::new(1_000, 1_000) });
    }
    for Step(kind, choice, size, wait) in steps {
        now += u64::from(*wait);
        let running: Vec<_> = f.workers().flat_map(|(w, s)| s.tasks().keys().map(move |k| (w, *k))).collect();
        match kind % 8 {
            0..=3 => {
                key += 1;
                let room = Room::new(u64::from(*size) * 4, u64::from(*choice) + 1);
                let task = TaskToPlace::new(key, u64::from(choice % 2), u64::from(size % 3), room, *size == 7);
                if let Some(worker) = f.assign(now, &task, |_| true) {
                    let rank = PlacementStrategy::band_rank;
                    let class = f.settings().class_of(f.predictor().remaining_ms(&task.features, 0).expected_ms);
                    let w = f.worker(worker).unwrap();
                    if w.band().state == WorkerBandState::Recycling && rank(class, w) < LifetimeClass::COUNT {
                        assert!(class < w.band().class, "by the recycling rank only shorter classes");
                    }
                    add(&mut f, now, PlacementEvent::TaskPlaced { worker, task });
                }
            }
            k if !running.is_empty() => {
                let (worker, key) = running[usize::from(*choice) % running.len()];
                let outcome = match size % 4 {
                    0 => TaskOutcome::Failed,
                    1 => TaskOutcome::NeverStarted,
                    _ => TaskOutcome::Finished,
                };
                let e = match k {
                    4 => PlacementEvent::TaskStarted { worker, key },
                    _ => PlacementEvent::TaskEnded { worker, key, outcome },
                };
                add(&mut f, now, e);
            }
            _ => add(&mut f, now, PlacementEvent::Tick),
        }
    }
    (f, log)
}

fn check_invariants(f: &Fleet) {
    for (_, w) in f.workers() {
        let (band, tasks) = (w.band(), w.tasks());
        assert!(band.residuals.iter().all(|k| tasks.contains_key(k)), "residual tasks are running");
        assert_eq!(band.state == WorkerBandState::Empty, tasks.is_empty());
        assert_eq!(band.state == WorkerBandState::Recycling, !band.residuals.is_empty());
        let used = tasks.values().fold(Room::default(), |sum, t| sum.add(t.room));
        assert_eq!(w.used(), used, "room is the sum of the tasks");
        assert!(used.fits(w.room()), "no more than its room");
        assert_eq!(w.exit(), tasks.values().map(|t| t.exit).max());
        assert!(tasks.is_empty() || band.time_budget_ends < FOREVER);
        let (cpu, memory) = used.shares_ppm(w.room());
        assert!(band.state != WorkerBandState::Open || cpu.max(memory) <= 900_000, "a filled worker is not open");
    }
}

#[test]
fn invariants_hold_over_any_history() {
    bolero::check!().with_type::<Vec<Step>>().with_iterations(1_000).for_each(|steps| {
        play(steps, check_invariants);
    });
}

#[test]
fn refolding_gives_the_same_state_however_often_time_ticks() {
    bolero::check!().with_type::<Vec<Step>>().with_iterations(500).for_each(|steps| {
        let (f, log) = play(steps, |_| {});
        let mut again = new_fleet();
        let mut last = 0;
        for (now, e) in &log {
            let mut t = last;
            while t < *now {
                again.tick(t);
                t += 977;
            }
            again.fold(*now, e).unwrap();
            last = *now;
        }
        assert_eq!(f.digest(), again.digest());
    });
}

#[test]
fn a_saved_state_goes_on_as_if_it_had_never_been_away() {
    bolero::check!().with_type::<(Vec<Step>, u8)>().with_iterations(300).for_each(|(steps, cut)| {
        let (f, log) = play(steps, |_| {});
        let cut = usize::from(*cut).min(log.len());
        let mut first = new_fleet();
        log[..cut].iter().for_each(|(now, e)| first.fold(*now, e).unwrap());
        let settings = first.settings().clone();
        let mut second = Fleet::decode(settings, PlacementStrategy::Lava, &first.encode()).unwrap();
        assert_eq!(first.digest(), second.digest());
        log[cut..].iter().for_each(|(now, e)| second.fold(*now, e).unwrap());
        assert_eq!(f.digest(), second.digest());
    });
}

#[test]
fn a_torn_state_is_an_error() {
    let bytes = play(&[Step(0, 1, 2, 3)], |_| {}).0.encode();
    let torn = Fleet::decode(PlacementSettings::default(), PlacementStrategy::Lava, &bytes[..bytes.len() - 1]);
    assert!(matches!(torn, Err(PlacementError::MalformedState { .. })));
}
