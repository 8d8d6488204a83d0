//! The ranking of a step's candidates, kept up to date, against a look at all workers for each task.

mod ledger;

use ledger::Bench;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scheduler_core::prelude::*;

/// Fleets tried.
const SEEDS: u64 = 60;

/// A fleet of unlike workers with work of unlike shapes on it, and one step that waits.
fn fleet(seed: u64) -> Bench {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bench = Bench::new(0);
    for n in 0..40 {
        let told = RegisterWorker {
            rack: format!("r{}", n / 8),
            cpu_millis: [4_000, 8_000, 32_000][random.random_range(0..3)],
            memory_mb: [8_000, 16_000, 64_000][random.random_range(0..3)],
            ..bench.told(&format!("w{n}"), "b1")
        };
        bench.one(Command::Register(told));
    }
    for n in 0..random.random_range(5..25) {
        let mut spec = JobSpec::single(&format!("before{n}"), "q", "s", random.random_range(1..8), 1, 1);
        spec.steps[0].cpu_millis = random.random_range(200..9_000);
        spec.steps[0].memory_mb = random.random_range(200..17_000);
        spec.urgency = Some(random.random_range(1..=9));
        bench.submit(spec);
        bench.plan();
    }
    let mut spec = JobSpec::single("waits", "q", "s", 30, random.random_range(300..6_000), random.random_range(300..12_000));
    spec.steps[0].near_rack = random.random_bool(0.5).then(|| "r2".to_owned());
    spec.steps[0].most_per_worker = if random.random_bool(0.3) { 2 } else { 0 };
    spec.urgency = Some(random.random_range(1..=9));
    bench.submit(spec);
    bench
}

/// Where the tasks of the step that waits go, with a queue of candidates or without one.
fn places(bench: &Bench, queued: bool) -> Vec<WorkerIndex> {
    let state = &bench.ledger.state;
    let (group, steps) = state.ready.groups().max_by_key(|(_, steps)| steps.last().map(|step| step.1.job)).unwrap();
    let id = steps.last().unwrap().1;
    let job = &state.tables.jobs[&id.job];
    let (spec, step) = (job.spec.as_deref().unwrap(), job.step(id).unwrap());
    let urgent = job.summary.urgency >= state.tables.rules.urgent_from;
    let (policies, memory) = (PlacementPolicies::default(), GangReservations::default());
    let mut book = RoundBook::new(state);
    let wide_shapes = WideShapes::new(state);
    let reserved = ReservedWorkers::new(state, bench.now, &memory);
    let awaited_racks = BTreeSet::new();
    let eligible = EligibleWorkers::new(0, state.tables.workers.iter().map(|(index, worker)| (*index, worker, worker.room())));
    let ranked = state.bands.ranked(bench.now, &state.task_to_place(spec, id.step, 0));
    let urgency = job.summary.urgency;
    let placement = StepPlacement { urgency, urgent, pressing: false, group, id, spec, step, eligible: &eligible, ranked };
    let mut zones = zone_allowance(state, &book, policies, urgent, group);
    let workers = || eligible.all().iter().map(|(index, worker)| (*index, *worker));
    macro_rules! choice {
        () => {
            WorkerChoice {
                state,
                now: bench.now,
                policies,
                book: &book,
                wide_shapes: &wide_shapes,
                reserved: &reserved,
                awaited_racks: &awaited_racks,
            }
        };
    }
    let mut queue = CandidateQueue::new(&choice!(), &placement, &zones, workers());
    let mut found = Vec::new();
    for _ in step.waiting() {
        let worker = match queued {
            true => queue.take(&placement, &zones),
            false => choice!().best(&placement, None, &zone_allowance(state, &book, policies, urgent, group), workers()),
        };
        let Some(worker) = worker else { break };
        book.charge(worker, group, id);
        *zones.get_mut(&state.tables.workers[&worker].told.zone).unwrap() -= 1;
        queue.renew(&choice!(), &placement, &zones, worker);
        found.push(worker);
    }
    found
}

#[test]
fn a_queue_of_candidates_gives_the_workers_that_a_look_at_all_of_them_gives() {
    let mut all = 0;
    for seed in 0..SEEDS {
        let bench = fleet(seed);
        let queued = places(&bench, true);
        assert_eq!(queued, places(&bench, false), "seed {seed}");
        all += queued.len();
    }
    assert!(all > 10 * SEEDS as usize, "{all} tasks placed in all");
}
