//! What a round of placement may cost: a leader that plans for longer than its gateways wait for it loses them.

mod ledger;

use ledger::Bench;
use scheduler_core::prelude::*;

const WORKERS: usize = 1_100;
const STEPS: u64 = 120;
const TASKS: u32 = 13;
/// Looks at workers for each step: one at each, and some for the workers that were given to its tasks.
const LOOKS_A_STEP: u64 = 2 * WORKERS as u64;

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
