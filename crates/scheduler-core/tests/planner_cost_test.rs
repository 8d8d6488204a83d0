//! What a round of placement may cost: a leader that plans for longer than its gateways wait for it loses them.

mod ledger;

use ledger::Bench;
use scheduler_core::prelude::*;

const WORKERS: usize = 1_100;
const STEPS: u64 = 120;
const TASKS: u32 = 13;
/// Looks at workers for each step: one at each, and some for the workers that were given to its tasks.
const LOOKS_A_STEP: u64 = 2 * WORKERS as u64;
/// Looks in the tenth of an election timeout of 350 ms that a step may take, at 0.6 of a core and 0.3 us a look.
const LOOKS_A_ROUND: u64 = 70_000;
/// What the step that is planned when a round's looks are spent may still cost: each worker once, and each task that runs.
const LOOKS_OF_THE_LAST_STEP: u64 = 8 * WORKERS as u64;
/// Unlike steps that wait at once.
const BACKLOG: u64 = 1_000;
/// Urgency from which work may stop lesser work.
const URGENT: u8 = 3;
/// Work of this age isn't stopped for urgent work: too much of it would be lost.
const OLD_MS: Millis = 5_000;

fn waiting(steps: u64) -> Bench {
    let mut bench = Bench::new(WORKERS);
    for n in 0..steps {
        let spec = JobSpec::single(&format!("j{n}"), "q", "s", TASKS, 900 + n, 700 + n);
        bench.submit(spec);
    }
    bench
}

#[test]
fn a_round_looks_at_each_worker_a_few_times_a_step_not_for_each_task() {
    let mut bench = waiting(STEPS);
    let round = bench.round();
    let planned: usize = round.starts.iter().map(|(starts, _)| starts.len()).sum();
    let steps = (planned as u64).div_ceil(u64::from(TASKS));
    assert!(planned >= 200, "{planned} starts planned");
    assert!(round.looks.total() <= steps * LOOKS_A_STEP, "{:?} for {steps} steps", round.looks);
}

#[test]
fn a_backlog_that_no_round_can_reach_costs_no_looks() {
    let few = waiting(STEPS).round().looks.total();
    let many = waiting(10 * STEPS).round().looks.total();
    assert!(many <= few + LOOKS_A_STEP, "{few} looks with {STEPS} steps waiting, {many} with ten times as many");
}

#[test]
fn a_gang_that_fits_into_no_rack_costs_a_look_at_each_worker_not_one_a_rack() {
    let mut bench = Bench::new(0);
    for n in 0..WORKERS {
        let told = RegisterWorker { rack: format!("r{}", n / 12), ..bench.told(&format!("w{n}"), "b1") };
        bench.one(Command::Register(told));
    }
    let mut spec = JobSpec::single("gang", "q", "s", 64, 7_000, 700);
    spec.steps[0].gang = true;
    spec.steps[0].same_rack = true;
    bench.submit(spec);
    let round = bench.round();
    assert_eq!(round.starts.iter().map(|(starts, _)| starts.len()).sum::<usize>(), 64);
    assert!(round.looks.total() <= 2 * LOOKS_A_STEP, "{:?}", round.looks);
}

/// A fleet that is full with lesser work that runs since so long.
fn full_fleet(age: Millis) -> Bench {
    let mut bench = Bench::new(WORKERS);
    bench.command_ms = 0;
    bench.ledger.state.tables.rules.urgent_from = URGENT;
    for n in 0..WORKERS {
        let mut spec = JobSpec::single(&format!("running-{n}"), "q", "s", 2, 4_000, 8_000);
        spec.urgency = Some(0);
        let job = bench.submit(spec);
        let starts: Vec<(TaskId, WorkerIndex)> = (0..2).map(|task| (TaskId::new(job, 0, task), n as WorkerIndex)).collect();
        for start in &starts {
            bench.one(Command::Start { starts: vec![*start], gang: false });
        }
        for (task, _) in starts {
            bench.started(task);
        }
    }
    bench.now += age;
    bench
}

/// Unlike steps, each smaller than those before, so that no refusal speaks for the next one.
fn wait_smaller_and_smaller(bench: &mut Bench, change: impl Fn(&mut JobSpec)) {
    for n in 0..BACKLOG {
        let mut spec = JobSpec::single(&format!("waiting-{n}"), "q", "s", 4, 3_900 - n, 7_900 - n);
        change(&mut spec);
        bench.submit(spec);
    }
}

fn assert_bounded(round: &PlannedRound) {
    assert!(round.looks.total() <= LOOKS_A_ROUND + LOOKS_OF_THE_LAST_STEP, "{:?}", round.looks);
}

#[test]
fn unlike_steps_that_fit_nowhere_cost_a_bounded_round() {
    let mut bench = full_fleet(OLD_MS);
    wait_smaller_and_smaller(&mut bench, |spec| spec.urgency = Some(1));
    assert_bounded(&bench.round());
}

#[test]
fn urgent_steps_for_which_nothing_may_be_stopped_cost_a_bounded_round() {
    let mut bench = full_fleet(OLD_MS);
    wait_smaller_and_smaller(&mut bench, |spec| spec.urgency = Some(URGENT));
    let round = bench.round();
    assert!(round.victims.is_empty());
    assert_bounded(&round);
}

#[test]
fn urgent_steps_that_stop_lesser_work_cost_a_bounded_round() {
    let mut bench = full_fleet(0);
    wait_smaller_and_smaller(&mut bench, |spec| spec.urgency = Some(URGENT));
    let round = bench.round();
    assert!(!round.victims.is_empty());
    assert_bounded(&round);
}

#[test]
fn gangs_that_fit_nowhere_cost_a_bounded_round() {
    let mut bench = full_fleet(OLD_MS);
    wait_smaller_and_smaller(&mut bench, |spec| {
        spec.urgency = Some(1);
        spec.steps[0].gang = true;
    });
    assert_bounded(&bench.round());
}

/// Shapes that a look at a worker weighs at most: a look is to take 0.3 us.
const SHAPES_A_LOOK: usize = 8;

#[test]
fn a_look_at_a_worker_weighs_few_shapes_however_many_unlike_wide_steps_wait() {
    let mut bench = Bench::new(2);
    for n in 0..BACKLOG {
        bench.submit(JobSpec::single(&format!("wide-{n}"), "q", "s", 4, 3_000 + 3 * n, 5_000 + 7 * n));
    }
    let shapes = WideShapes::new(&bench.ledger.state);
    assert!(shapes.count("s") <= SHAPES_A_LOOK, "{} shapes", shapes.count("s"));
    let (whole, scattered) = (Room::new(8_000, 16_000), Room::new(1_000, 1_000));
    assert!(shapes.loss("s", whole, scattered) > 0, "a task that takes the place of a wide one is a loss");
}

/// Rounds after which a step that fits has started, whatever waits before it: 1.9 s for an urgent start, at 32 ms a round.
const MOST_ROUNDS: usize = 59;
/// Urgency of the backlog that costs all looks of a round.
const BACKLOG_URGENCY: u8 = 2;

/// Steps that wait in a queue for workers with room that nobody trusts. Each is limited a worker by itself, so that no refusal
/// speaks for another one.
fn wait_for_untrusted_workers(bench: &mut Bench, queue: &str) {
    for n in 0..BACKLOG {
        let mut spec = JobSpec::single(&format!("waiting-{n}"), queue, "s", 1, 3_900, 7_900);
        spec.urgency = Some(BACKLOG_URGENCY);
        spec.steps[0].most_per_worker = 1;
        bench.submit(spec);
    }
}

/// A fleet of workers with room that nobody trusts, and one that is sound but nearly full.
fn untrusted_fleet() -> Bench {
    let mut bench = Bench::new(WORKERS);
    bench.command_ms = 0;
    for worker in bench.ledger.state.tables.workers.values_mut() {
        (worker.health.level, worker.health.until) = (1, Millis::MAX);
    }
    bench.one(Command::Register(bench.told("sound", "b1")));
    let (sound, _) = bench.ledger.state.worker("sound").unwrap();
    bench.ledger.state.tables.workers.get_mut(&sound).unwrap().used = Room::new(7_000, 15_000);
    bench
}

/// Rounds until something of a job starts.
fn rounds_until_start(bench: &mut Bench, job: JobNumber) -> usize {
    let mut starts_in_round = || {
        let round = bench.round();
        assert_bounded(&round);
        round.starts.into_iter().flat_map(|(starts, _)| starts).any(|(task, _)| task.job == job)
    };
    (1..=MOST_ROUNDS).find(|_| starts_in_round()).unwrap_or_else(|| panic!("no start in {MOST_ROUNDS} rounds"))
}

#[test]
fn a_step_that_fits_starts_behind_a_backlog_that_costs_all_looks_of_a_round() {
    for queue in ["q", "other"] {
        for urgency in [BACKLOG_URGENCY, BACKLOG_URGENCY - 1] {
            let mut bench = untrusted_fleet();
            wait_for_untrusted_workers(&mut bench, "q");
            let round = bench.round();
            assert!(round.cut, "{:?}", round.looks);
            let mut spec = JobSpec::single("fits", queue, "s", 1, 500, 500);
            spec.urgency = Some(urgency);
            let job = bench.submit(spec);
            rounds_until_start(&mut bench, job);
        }
    }
}

#[test]
fn a_backlog_in_each_of_many_queues_has_its_turn_within_a_few_rounds() {
    let mut bench = untrusted_fleet();
    for queue in 0..BACKLOG / 10 {
        for n in 0..10 {
            let mut spec = JobSpec::single(&format!("waiting-{queue}-{n}"), &format!("q{queue}"), "s", 1, 3_900, 7_900);
            spec.urgency = Some(BACKLOG_URGENCY);
            spec.steps[0].most_per_worker = 1;
            bench.submit(spec);
        }
    }
    let mut spec = JobSpec::single("fits", "q99", "s", 1, 500, 500);
    spec.urgency = Some(BACKLOG_URGENCY);
    let job = bench.submit(spec);
    rounds_until_start(&mut bench, job);
}
