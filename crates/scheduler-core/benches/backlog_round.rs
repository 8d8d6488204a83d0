//! Time and looks of one round of placement over a full fleet while unlike steps wait that fit nowhere.
//!
//! `cargo bench -p scheduler-core --bench backlog_round`

use std::time::Instant;

use scheduler_core::prelude::*;

/// Workers of the fleet, in racks and with room for four small tasks each.
const WORKERS: usize = 1_100;
/// Workers of one rack.
const RACK: usize = 12;
/// Steps that wait.
const BACKLOGS: [u64; 4] = [100, 500, 1_000, 2_000];
/// Urgency from which work may stop lesser work.
const URGENT: u8 = 3;
/// Age at which the tasks that run have too much to lose to be stopped.
const OLD_MS: Millis = 5_000;

/// What waits, and whether lesser work may be stopped for it.
#[derive(Clone, Copy, Debug)]
enum Backlog {
    /// Steps that aren't urgent.
    Lesser,
    /// Urgent steps, while all that runs is too old to be stopped.
    Urgent,
    /// Urgent steps, while all that runs is young and lesser.
    Preempting,
    /// Gangs.
    Gangs,
}

fn main() {
    for backlog in [Backlog::Lesser, Backlog::Urgent, Backlog::Preempting, Backlog::Gangs] {
        for steps in BACKLOGS {
            let ledger = full_fleet(backlog, steps);
            let state = &ledger.state;
            let memory = PlannerMemory::default();
            let began = Instant::now();
            let round = StartPlanner::new(state, state.tables.log_time, 256, PlacementPolicies::default(), &memory).plan();
            let ms = began.elapsed().as_secs_f64() * 1e3;
            println!("{backlog:?}, {steps} steps: {ms:.1} ms, {} victims, {:?}", round.victims.len(), round.looks);
        }
    }
}

fn apply(ledger: &mut Ledger, after_ms: Millis, command: Command) -> Vec<Answer> {
    let now = ledger.state.tables.log_time + after_ms;
    ledger.apply(now, CommandBatch { proposer: 1, number: 1, commands: vec![command] })
}

fn full_fleet(backlog: Backlog, steps: u64) -> Ledger {
    let mut ledger = Ledger::new(ClusterState::new(ClusterRules::new(500)).expect("the built-in charts are sound"));
    ledger.state.tables.rules.urgent_from = URGENT;
    let gateway = Command::GatewayAttached { name: "g".into(), instance: 7, zone: "z1".into(), http_address: "a".into() };
    apply(&mut ledger, 1, gateway);
    for index in 0..WORKERS {
        apply(&mut ledger, 1, Command::Register(worker(index)));
    }
    fill(&mut ledger);
    let age = if matches!(backlog, Backlog::Urgent) { OLD_MS } else { 1 };
    for index in 0..steps {
        // Smaller and smaller, so that no refusal speaks for the next step.
        let (cpu, memory) = (3_900 - index, 8_000 - index);
        let mut spec = JobSpec::single(&format!("waiting-{index}"), "q", "s", 4, cpu, memory);
        spec.urgency = Some(if matches!(backlog, Backlog::Urgent | Backlog::Preempting) { URGENT } else { 1 });
        spec.steps[0].gang = matches!(backlog, Backlog::Gangs);
        apply(&mut ledger, if index == 0 { age } else { 0 }, Command::Submit { spec, due_in_ms: 0 });
    }
    ledger
}

fn worker(index: usize) -> RegisterWorker {
    RegisterWorker {
        name: format!("w{index}"),
        address: "10.0.0.1:80".into(),
        boot_id: "b1".into(),
        service: "s".into(),
        kind: "new".into(),
        rack: format!("r{}", index / RACK),
        zone: "z1".into(),
        cpu_millis: 16_000,
        memory_mb: 32_768,
        ..RegisterWorker::default()
    }
}

/// Starts lesser tasks until all workers are full.
fn fill(ledger: &mut Ledger) {
    for index in 0..WORKERS {
        let mut spec = JobSpec::single(&format!("running-{index}"), "q", "s", 4, 4_000, 8_192);
        spec.urgency = Some(0);
        apply(ledger, 0, Command::Submit { spec, due_in_ms: 0 });
    }
    let mut started: Vec<(TaskId, WorkerIndex)> = Vec::new();
    let tasks: Vec<TaskId> =
        ledger.state.tables.jobs.values().flat_map(|job| job.step_ids()).flat_map(|id| (0..4).map(move |n| id.task(n))).collect();
    let workers: Vec<WorkerIndex> = ledger.state.tables.workers.keys().copied().collect();
    for (tasks, worker) in tasks.chunks(4).zip(workers) {
        started.extend(tasks.iter().map(|task| (*task, worker)));
    }
    for start in started {
        apply(ledger, 0, Command::Start { starts: vec![start], gang: false });
    }
    let facts: Vec<WorkerFacts> = ledger.state.tables.workers.iter().map(|(index, record)| facts(&ledger.state, *index, record)).collect();
    for told in facts {
        apply(ledger, 0, Command::Facts(told));
    }
}

/// That all tasks of a worker run.
fn facts(state: &ClusterState, index: WorkerIndex, record: &WorkerRecord) -> WorkerFacts {
    let attempts = state.on_worker[&index].iter();
    WorkerFacts {
        worker: record.told.name.clone(),
        boot_id: "b1".into(),
        assignment: record.assignment,
        started: attempts.map(|task| AttemptId { task: *task, number: state.tables.attempts[task].number }).collect(),
        ..WorkerFacts::default()
    }
}
