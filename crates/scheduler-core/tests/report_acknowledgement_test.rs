//! A report is acknowledged only once it and all reports before it are in the log.

use scheduler_core::prelude::*;

const CHANNEL: ChannelId = 1;
const TICK_MS: Millis = 25;
const SYNC_MS: Millis = 200;
/// A batch of this many bytes is refused by the log of these tests.
const MOST_COMMAND_BYTES: usize = 1_024;
/// Room for one of the reports of these tests, not for two.
const MOST_UNCOMMITTED_BYTES: usize = 600;
const FACTS_A_REPORT: usize = 8;
const WORKERS: usize = 40;

/// A lone leader whose disk takes a while for each sync, with one gateway attached that holds all workers.
struct Leader {
    core: Scheduler,
    now: Millis,
    /// Writes under way: when each is synced.
    unsynced: VecDeque<(Millis, SchedulerInput)>,
    sync_ms: Millis,
    frames: Vec<SchedulerFrame>,
}

impl Leader {
    fn new(change: impl FnOnce(&mut SchedulerSettings)) -> Self {
        let mut settings = SchedulerSettings::new("c", "10.0.0.1:7001", "z1", 1_000);
        settings.founders = vec!["10.0.0.1:7001".into()];
        settings.seeds = settings.founders.clone();
        change(&mut settings);
        let core = Scheduler::new(settings, 7, RestoredState::joining(), 0, 1).unwrap();
        let mut leader = Leader { core, now: 0, unsynced: VecDeque::new(), sync_ms: 0, frames: Vec::new() };
        leader.run(20_000);
        assert!(leader.core.is_serving(leader.now));
        leader.frame(GatewayFrame::Attach {
            wire_version: WIRE_VERSION,
            cluster: "c".into(),
            name: "g1".into(),
            instance: 3,
            zone: "z1".into(),
            http_address: "10.0.1.1:80".into(),
            view: 0,
            configuration: 0,
        });
        for number in 0..WORKERS {
            leader.ask(number as u64, CallBody::RegisterWorker(worker(number)));
            leader.run(100);
        }
        assert_eq!(leader.core.state().tables.workers.len(), WORKERS);
        leader.frames.clear();
        leader
    }

    fn step(&mut self, input: SchedulerInput) {
        let mut todo = VecDeque::from([input]);
        while let Some(input) = todo.pop_front() {
            for effect in self.core.step(self.now, input) {
                match effect {
                    SchedulerEffect::Persist(request) if self.sync_ms == 0 => todo.push_back(SchedulerInput::Persisted(request.ticket)),
                    SchedulerEffect::Persist(request) => {
                        self.unsynced.push_back((self.now + self.sync_ms, SchedulerInput::Persisted(request.ticket)));
                    }
                    SchedulerEffect::Gateway(CHANNEL, frame) => self.frames.push((*frame).clone()),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, for_ms: Millis) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += TICK_MS;
            while let Some((_, synced)) = self.unsynced.pop_front_if(|(at, _)| *at <= self.now) {
                self.step(synced);
            }
            self.step(SchedulerInput::Tick { wall_ms: 1_000_000 + self.now, read_to: self.now });
            if self.now.is_multiple_of(100) && !self.frames.is_empty() {
                self.frame(GatewayFrame::Pulse { stamp: self.now, view: 0, configuration: 0 });
            }
        }
    }

    fn frame(&mut self, frame: GatewayFrame) {
        self.step(SchedulerInput::Gateway { channel: CHANNEL, arrived_at: self.now, frame: Box::new(frame) });
    }

    fn ask(&mut self, request: u64, body: CallBody) {
        self.frame(GatewayFrame::Ask { request, time_budget_ms: 10_000, body });
    }

    /// Tells that so many workers, from the one of that number on, want to drain.
    fn report(&mut self, report: u64, from: usize, count: usize) {
        self.frame(GatewayFrame::Facts { report, facts: (from..from + count).map(|number| self.wants_to_drain(number)).collect() });
    }

    fn wants_to_drain(&self, number: usize) -> WorkerFacts {
        let name = worker(number).name;
        let assignment = self.core.state().worker(&name).map_or(0, |known| known.1.assignment);
        WorkerFacts { worker: name, boot_id: "b1".into(), assignment, draining: Some(true), ..WorkerFacts::default() }
    }

    /// How many workers drain, for all that the log knows.
    fn draining(&self) -> usize {
        self.core.state().tables.workers.values().filter(|worker| worker.draining()).count()
    }

    fn acknowledged(&self) -> u64 {
        let done =
            self.frames.iter().filter_map(|frame| if let SchedulerFrame::FactsDone { report } = frame { Some(*report) } else { None });
        done.max().unwrap_or(0)
    }

    fn sent_away(&self) -> bool {
        self.frames.iter().any(|frame| matches!(frame, SchedulerFrame::NotLeader { .. }))
    }
}

fn worker(number: usize) -> RegisterWorker {
    RegisterWorker {
        name: format!("worker-with-a-long-name-{number:02}"),
        address: "10.0.2.1:80".into(),
        boot_id: "b1".into(),
        service: "s".into(),
        kind: "new".into(),
        rack: "r".into(),
        zone: "z1".into(),
        cpu_millis: 8_000,
        memory_mb: 16_000,
        ..RegisterWorker::default()
    }
}

#[test]
fn a_report_in_a_batch_that_is_too_large_is_not_covered_by_a_later_acknowledgement() {
    let mut leader = Leader::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    leader.report(1, 0, WORKERS - 1);
    leader.run(500);
    leader.report(2, WORKERS - 1, 1);
    leader.run(500);
    assert_eq!((leader.acknowledged(), leader.draining()), (2, WORKERS));
}

#[test]
fn a_report_that_the_log_had_no_room_for_is_not_covered_by_a_later_acknowledgement() {
    let mut leader = Leader::new(|settings| {
        (settings.log.max_command_bytes, settings.log.max_uncommitted_bytes) = (MOST_UNCOMMITTED_BYTES, MOST_UNCOMMITTED_BYTES);
    });
    leader.sync_ms = SYNC_MS;
    for report in 0..4 {
        leader.report(report + 1, report as usize * FACTS_A_REPORT, FACTS_A_REPORT);
        leader.run(50);
    }
    leader.run(20 * SYNC_MS);
    leader.report(5, 4 * FACTS_A_REPORT, FACTS_A_REPORT);
    leader.run(20 * SYNC_MS);
    assert_eq!((leader.acknowledged(), leader.draining()), (5, 5 * FACTS_A_REPORT));
}

#[test]
fn a_report_is_not_acknowledged_before_the_last_of_its_batches_is_in_the_log() {
    let mut leader = Leader::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    leader.sync_ms = SYNC_MS;
    leader.report(1, 0, WORKERS);
    for _ in 0..20 * SYNC_MS / TICK_MS {
        leader.run(TICK_MS);
        assert!(leader.acknowledged() == 0 || leader.draining() == WORKERS, "{} of {WORKERS} are in the log", leader.draining());
    }
    assert_eq!(leader.acknowledged(), 1);
}

#[test]
fn a_channel_is_closed_when_a_fact_can_never_get_into_the_log() {
    let mut leader = Leader::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    let checkpoint = AttemptCheckpoint { attempt: "7.0.1.1".parse().unwrap(), checkpoint: "c".repeat(2 * MOST_COMMAND_BYTES) };
    let facts = vec![WorkerFacts { checkpoints: vec![checkpoint], ..leader.wants_to_drain(0) }];
    leader.frame(GatewayFrame::Facts { report: 1, facts });
    leader.report(2, 1, 1);
    leader.run(500);
    assert_eq!((leader.acknowledged(), leader.sent_away()), (0, true));
}

#[test]
fn a_call_beside_a_command_that_is_too_large_is_taken() {
    let mut leader = Leader::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    let submit = |name: &str, bytes: usize| {
        let mut spec = JobSpec::single(name, "q", "s", 1, 100, 100);
        spec.steps[0].payload = Payload(serde_json::Value::String("p".repeat(bytes)));
        CallBody::SubmitJob(cluster_messages::SubmitJob { spec })
    };
    leader.sync_ms = SYNC_MS;
    // The first one occupies the log, so that the others gather in one batch.
    for (request, bytes) in [(101, 10), (102, 10), (103, 10), (104, 2 * MOST_COMMAND_BYTES), (105, 10)] {
        leader.ask(request, submit(&format!("j{request}"), bytes));
    }
    leader.run(20 * SYNC_MS);
    let answered = |wanted: u64| {
        let answer = leader.frames.iter().find_map(|frame| match frame {
            SchedulerFrame::Answer { request, result } if *request == wanted => Some(result.clone()),
            _ => None,
        });
        answer.unwrap_or_else(|| panic!("{wanted} has no answer"))
    };
    assert!([101, 102, 103, 105].into_iter().all(|request| answered(request).is_ok()));
    assert!(matches!(answered(104), Err(CallError::TooLarge { .. })));
}

#[test]
fn a_report_without_facts_is_acknowledged() {
    let mut leader = Leader::new(|_| {});
    leader.report(1, 0, 0);
    assert_eq!(leader.acknowledged(), 1);
}
