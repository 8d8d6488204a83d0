//! Processor time of the leader's decisions for one second of a large fleet's load, by phase, without log and sockets: applying
//! what gateways report, planning, and building the gateways' updates. The second figure is for a leader that begins with a
//! backlog, as after an election or a cut.
//!
//! `cargo bench -p scheduler-core --bench leader_second`

use std::time::{Duration, Instant};

use cluster_messages::Name;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scheduler_core::prelude::*;

/// Workers of the fleet.
const WORKERS: usize = 1_100;
/// Gateways that hold them.
const GATEWAYS: usize = 147;
/// Workers of one rack.
const RACK: usize = 12;
/// Zones.
const ZONES: usize = 5;
/// Jobs accepted in a second.
const JOBS_A_SECOND: u64 = 60;
/// Between two entries of the log.
const ENTRY_MS: Millis = 25;
/// Simulated time that is measured, after as much for the fleet to fill.
const MEASURED_MS: Millis = 3_000;
/// Starts planned in a round at most.
const ROUND_STARTS: usize = 256;
/// Jobs that wait at once where there is a backlog.
const BACKLOG: u64 = 200;

fn main() {
    for backlog in [0, BACKLOG] {
        let mut load = Load::new();
        load.run(MEASURED_MS);
        load.spent = Spent::default();
        for _ in 0..backlog {
            load.submit();
        }
        load.run(MEASURED_MS);
        let seconds = MEASURED_MS as f64 / 1e3;
        let ms = |spent: Duration| spent.as_secs_f64() * 1e3 / seconds;
        let Spent { apply, plan, updates, rounds, starts } = load.spent;
        println!(
            "backlog of {backlog} jobs: apply {:.0} ms, plan {:.0} ms, updates {:.0} ms a second; {} starts in {rounds} rounds",
            ms(apply),
            ms(plan),
            ms(updates),
            starts
        );
    }
}

/// Time spent by phase.
#[derive(Default)]
struct Spent {
    apply: Duration,
    plan: Duration,
    updates: Duration,
    rounds: u64,
    starts: usize,
}

/// A ledger under load: jobs come, tasks start and end.
struct Load {
    ledger: Ledger,
    memory: PlannerMemory,
    sessions: Vec<(Name, u64)>,
    /// Ends of tasks to come, by time.
    ends: BTreeMap<Millis, Vec<(WorkerIndex, AttemptId)>>,
    random: ChaCha8Rng,
    now: Millis,
    jobs: u64,
    spent: Spent,
}

impl Load {
    fn new() -> Self {
        let ledger = Ledger::new(ClusterState::new(ClusterRules::new(500)).expect("the built-in charts are sound"));
        let mut load = Load {
            ledger,
            memory: PlannerMemory::default(),
            sessions: (0..GATEWAYS).map(|n| (format!("gateway-{n}"), 0)).collect(),
            ends: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(7),
            now: 1_000,
            jobs: 0,
            spent: Spent::default(),
        };
        let gateways = (0..GATEWAYS).map(|n| Command::GatewayAttached {
            name: format!("gateway-{n}"),
            instance: 7,
            zone: zone(n),
            http_address: "10.0.0.1:80".into(),
        });
        load.apply(gateways.collect());
        for n in 0..WORKERS {
            load.apply(vec![Command::Register(worker(n))]);
        }
        load
    }

    fn apply(&mut self, commands: Vec<Command>) {
        let began = Instant::now();
        self.ledger.apply(self.now, CommandBatch { proposer: 1, number: 1, commands });
        self.spent.apply += began.elapsed();
    }

    /// A job like those of large deployments: mostly narrow steps of short tasks, now and then wide ones of long tasks.
    fn submit(&mut self) {
        self.jobs += 1;
        let batch = self.random.random_range(0..45) == 0;
        let (tasks, cpu, estimate) = match batch {
            true => (self.random.random_range(20..200), 7_200, 6_000),
            false => (self.random.random_range(2..25), 3_400, 640),
        };
        let mut spread = |mean: u64| self.random.random_range(mean / 2..mean * 3 / 2);
        let mut spec = JobSpec::single(&format!("job-{}", self.jobs), "q", "s", tasks, spread(cpu), spread(cpu));
        let step = &mut spec.steps[0];
        step.estimate_ms = spread(estimate);
        step.near_rack = (self.jobs.is_multiple_of(2)).then(|| format!("rack-{}", self.jobs as usize % (WORKERS / RACK)));
        step.most_per_worker = if self.jobs.is_multiple_of(7) { 2 } else { 0 };
        spec.urgency = Some(if batch { 3 } else { 9 });
        spec.payload = cluster_messages::Payload(serde_json::Value::String("x".repeat(500)));
        self.apply(vec![Command::Submit { spec, due_in_ms: 0 }]);
    }

    fn run(&mut self, length: Millis) {
        for entry in 0..length / ENTRY_MS {
            self.now += ENTRY_MS;
            let due = (entry + 1) * ENTRY_MS * JOBS_A_SECOND / 1_000 - entry * ENTRY_MS * JOBS_A_SECOND / 1_000;
            (0..due).for_each(|_| self.submit());
            self.report_ends();
            self.plan();
            self.update();
        }
    }

    fn report_ends(&mut self) {
        let later = self.ends.split_off(&(self.now + 1));
        let ended = std::mem::replace(&mut self.ends, later).into_values().flatten();
        let mut by_worker: BTreeMap<WorkerIndex, Vec<AttemptId>> = BTreeMap::new();
        for (worker, attempt) in ended {
            by_worker.entry(worker).or_default().push(attempt);
        }
        let facts = by_worker.into_iter().map(|(worker, attempts)| {
            let ended = attempts.into_iter().map(|a| cluster_messages::EndedAttempt::new(a, Outcome::Succeeded)).collect();
            Command::Facts(WorkerFacts { ended, ..self.facts_of(worker) })
        });
        let facts: Vec<Command> = facts.collect();
        self.apply(facts);
    }

    fn facts_of(&self, worker: WorkerIndex) -> WorkerFacts {
        let record = &self.ledger.state.tables.workers[&worker];
        WorkerFacts {
            worker: record.told.name.clone(),
            boot_id: record.told.boot_id.clone(),
            assignment: record.assignment,
            ..WorkerFacts::default()
        }
    }

    fn plan(&mut self) {
        let state = &self.ledger.state;
        if state.ready.is_empty() {
            return;
        }
        let began = Instant::now();
        let round = StartPlanner::new(state, self.now, ROUND_STARTS, PlacementPolicies::default(), &self.memory).plan();
        self.memory.settle(self.now, &round, state.tables.rules.gang_time_budget_ms);
        self.spent.plan += began.elapsed();
        self.spent.rounds += 1;
        for (starts, gang) in round.starts {
            self.spent.starts += starts.len();
            self.apply(vec![Command::Start { starts: starts.clone(), gang }]);
            self.begin(&starts);
        }
        let victims = round.victims;
        self.apply(vec![Command::Preempt(victims)]);
    }

    /// Starts are proven at once; each task ends after its estimate.
    fn begin(&mut self, starts: &[(TaskId, WorkerIndex)]) {
        let mut proofs = Vec::new();
        for (task, worker) in starts {
            let state = &self.ledger.state;
            let Some(attempt) = state.tables.attempts.get(task) else { continue };
            let id = AttemptId { task: *task, number: attempt.number };
            let estimate = state.tables.jobs[&task.job].spec.as_ref().map_or(0, |spec| spec.steps[0].estimate_ms);
            self.ends.entry(self.now + estimate).or_default().push((*worker, id));
            proofs.push(Command::Facts(WorkerFacts { started: vec![id], ..self.facts_of(*worker) }));
        }
        self.apply(proofs);
    }

    fn update(&mut self) {
        let began = Instant::now();
        let last = self.ledger.journal.last();
        let mut builder = ViewBuilder::new(&self.ledger);
        for (name, seen) in &mut self.sessions {
            let updates = builder.updates(name, 7, (*seen, *seen), 0, true);
            std::hint::black_box(updates);
            *seen = last;
        }
        self.spent.updates += began.elapsed();
    }
}

fn zone(n: usize) -> Name {
    format!("zone-{}", n % ZONES)
}

fn worker(n: usize) -> RegisterWorker {
    let size = [1, 1, 2, 4][n % 4];
    RegisterWorker {
        name: format!("worker-{n}"),
        address: "10.0.0.1:80".into(),
        boot_id: format!("boot-{n}"),
        service: "s".into(),
        kind: if n % 3 == 2 { "b".into() } else { "a".into() },
        rack: format!("rack-{}", n / RACK),
        zone: zone(n / RACK),
        cpu_millis: 8_000 * size,
        memory_mb: 16_384 * size,
        ..RegisterWorker::default()
    }
}
