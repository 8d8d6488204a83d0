//! A ledger without a log, fed with commands one by one.
#![allow(dead_code)]

use scheduler_core::prelude::*;

/// A ledger with one gateway and so many workers of 8 cores and 16 GB in one zone.
pub struct Bench {
    pub ledger: Ledger,
    pub now: Millis,
    /// How far each command moves the time on.
    pub command_ms: Millis,
    pub policies: PlacementPolicies,
    /// What the planner remembers from round to round.
    pub memory: PlannerMemory,
}

impl Bench {
    pub fn new(workers: usize) -> Self {
        let mut b = Bench {
            ledger: Ledger::new(ClusterState::new(ClusterRules::new(1_000)).unwrap()),
            now: 1_000,
            command_ms: 10,
            policies: PlacementPolicies::default(),
            memory: PlannerMemory::default(),
        };
        b.one(Command::GatewayAttached { name: "g".into(), instance: 7, zone: "z1".into(), http_address: "a".into() });
        for i in 0..workers {
            b.one(Command::Register(b.told(&format!("w{i}"), "b1")));
        }
        b
    }

    pub fn told(&self, name: &str, boot: &str) -> RegisterWorker {
        let (name, boot_id) = (name.to_owned(), boot.to_owned());
        let address = "10.0.0.1:80".to_owned();
        RegisterWorker {
            name,
            address,
            boot_id,
            service: "s".into(),
            kind: "new".into(),
            rack: "r".into(),
            zone: "z1".into(),
            cpu_millis: 8_000,
            memory_mb: 16_000,
            ..RegisterWorker::default()
        }
    }

    pub fn one(&mut self, c: Command) -> Answer {
        self.now += self.command_ms;
        self.ledger.apply(self.now, CommandBatch { proposer: 1, number: 1, commands: vec![c] }).remove(0)
    }

    /// An elected scheduler of this build puts its version of the fold in force.
    pub fn put_newest_fold(&mut self) {
        self.put_fold(NEWEST_FOLD_VERSION);
    }

    /// A version of the fold comes in force.
    pub fn put_fold(&mut self, fold_version: u32) {
        let ClusterRules { hold_interval_ms, voters, gang_time_budget_ms: gang_wait_ms, first_class_ms, .. } =
            self.ledger.state.tables.rules;
        self.one(Command::Rules { hold_interval_ms, voters, gang_wait_ms, first_class_ms, fold_version });
    }

    /// The operators' tree is replaced.
    pub fn configure(&mut self, tree: &serde_json::Value) {
        let base_version = self.ledger.state.configuration.version();
        let change_id = format!("change-{base_version}");
        let answer = self.one(Command::PutConfiguration { base_version, change_id, tree: tree.to_string().into_bytes(), source: None });
        assert!(matches!(answer, Some(Ok(_))), "{answer:?}");
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobNumber {
        match self.one(Command::Submit { spec, due_in_ms: 0 }) {
            Some(Ok(AnswerBody::SubmitJob(a))) => a.job,
            other => panic!("{other:?}"),
        }
    }

    /// One round of placement; gives what started.
    pub fn plan(&mut self) -> Vec<(TaskId, WorkerIndex)> {
        let round = self.round();
        let mut all = Vec::new();
        for (starts, gang) in round.starts {
            all.extend(starts.clone());
            self.one(Command::Start { starts, gang });
        }
        all
    }

    /// One round of placement, whose starts are left to the caller.
    pub fn round(&mut self) -> PlannedRound {
        let state = &self.ledger.state;
        let round = StartPlanner::new(state, self.now, 256, self.policies, &self.memory).plan();
        self.memory.settle(self.now, &round, state.tables.rules.gang_time_budget_ms);
        round
    }

    pub fn attempt(&self, t: TaskId) -> Option<&Attempt> {
        self.ledger.state.tables.attempts.get(&t)
    }

    pub fn id(&self, t: TaskId) -> AttemptId {
        AttemptId { task: t, number: self.attempt(t).unwrap().number }
    }

    pub fn facts(&mut self, worker: &str, boot: &str, f: impl FnOnce(&mut WorkerFacts)) {
        let assignment = self.assignment(worker);
        self.facts_under(assignment, worker, boot, f);
    }

    /// Facts from a gateway that holds, or held, a worker under that assignment.
    pub fn facts_under(&mut self, assignment: u64, worker: &str, boot: &str, f: impl FnOnce(&mut WorkerFacts)) {
        let mut w = WorkerFacts { worker: worker.into(), boot_id: boot.into(), assignment, ..WorkerFacts::default() };
        f(&mut w);
        self.one(Command::Facts(w));
    }

    /// The assignment of a worker that is in force.
    pub fn assignment(&self, worker: &str) -> u64 {
        self.ledger.state.worker(worker).map_or(0, |w| w.1.assignment)
    }

    /// Another gateway of the zone, which then holds all workers.
    pub fn move_workers_to(&mut self, gateway: &str) {
        let lost = self.ledger.state.tables.gateways.iter().find(|g| g.1.alive).map(|(n, g)| (n.clone(), g.instance)).unwrap();
        self.one(Command::GatewayAttached { name: gateway.into(), instance: 8, zone: "z1".into(), http_address: "b".into() });
        self.one(Command::GatewayLost { name: lost.0, instance: lost.1 });
    }

    pub fn ended(&mut self, t: TaskId, outcome: Outcome) {
        let (a, w) = (self.id(t), self.ledger.state.worker_name(self.attempt(t).unwrap().worker));
        self.facts(&w, "b1", |f| f.ended.push(EndedAttempt { ran_ms: 5, ..EndedAttempt::new(a, outcome) }));
    }

    pub fn started(&mut self, t: TaskId) {
        let (a, w) = (self.id(t), self.ledger.state.worker_name(self.attempt(t).unwrap().worker));
        self.facts(&w, "b1", |f| f.started.push(a));
    }

    pub fn state(&self, name: &str) -> JobState {
        self.ledger.state.job(name).unwrap().summary.state
    }

    pub fn used(&self) -> u64 {
        self.ledger.state.tables.workers.values().map(|w| w.used.cpu_millis).sum()
    }
}

/// A job of one step whose tasks ask one core and 1 GB each.
pub fn job(name: &str, tasks: u32) -> JobSpec {
    JobSpec::single(name, "q", "s", tasks, 1_000, 1_000)
}

/// The same, changed.
pub fn job_with(name: &str, tasks: u32, change: impl FnOnce(&mut JobSpec)) -> JobSpec {
    let mut spec = JobSpec::single(name, "q", "s", tasks, 1_000, 100);
    change(&mut spec);
    spec
}
