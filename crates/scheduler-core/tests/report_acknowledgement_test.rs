//! A report is acknowledged only once it and all reports before it are in the log.

mod leader;

use leader::{Leader, TICK_MS, attach_frame, founder};
use scheduler_core::prelude::*;

const CHANNEL: ChannelId = 1;
const SYNC_MS: Millis = 200;
/// A batch of this many bytes is refused by the log of these tests.
const MOST_COMMAND_BYTES: usize = 1_024;
/// Room for one of the reports of these tests, not for two.
const MOST_UNCOMMITTED_BYTES: usize = 600;
const FACTS_A_REPORT: usize = 8;
const WORKERS: usize = 40;

/// A lone leader with one gateway attached that holds all workers.
struct Scene {
    leader: Leader,
}

impl Scene {
    fn new(change: impl FnOnce(&mut SchedulerSettings)) -> Self {
        let mut settings = founder();
        change(&mut settings);
        let mut scene = Scene { leader: Leader::elected(settings) };
        scene.leader.frame(CHANNEL, attach_frame("g1", 3));
        for number in 0..WORKERS {
            scene.ask(number as u64, CallBody::RegisterWorker(worker(number)));
            scene.run(100);
        }
        assert_eq!(scene.leader.core.state().tables.workers.len(), WORKERS);
        scene.leader.frames.clear();
        scene
    }

    /// Lets time pass, with the gateway's pulses.
    fn run(&mut self, for_ms: Millis) {
        for _ in 0..for_ms.div_ceil(TICK_MS) {
            self.leader.run(TICK_MS);
            let stamp = self.leader.now;
            self.leader.frame(CHANNEL, GatewayFrame::Pulse { stamp, view: 0, configuration: 0 });
        }
    }

    fn ask(&mut self, request: u64, body: CallBody) {
        self.leader.frame(CHANNEL, GatewayFrame::Ask { request, time_budget_ms: 10_000, body });
    }

    /// Tells that so many workers, from the one of that number on, want to drain.
    fn report(&mut self, report: u64, from: usize, count: usize) {
        let facts = (from..from + count).map(|number| self.wants_to_drain(number)).collect();
        self.leader.frame(CHANNEL, GatewayFrame::Facts { report, facts });
    }

    fn wants_to_drain(&self, number: usize) -> WorkerFacts {
        let name = worker(number).name;
        let assignment = self.leader.core.state().worker(&name).map_or(0, |known| known.1.assignment);
        WorkerFacts { worker: name, boot_id: "b1".into(), assignment, draining: Some(true), ..WorkerFacts::default() }
    }

    /// How many workers drain, for all that the log knows.
    fn draining(&self) -> usize {
        self.leader.core.state().tables.workers.values().filter(|worker| worker.draining()).count()
    }

    fn acknowledged(&self) -> u64 {
        let done = |frame: &SchedulerFrame| if let SchedulerFrame::FactsDone { report } = frame { Some(*report) } else { None };
        self.leader.frames_to(CHANNEL).into_iter().filter_map(done).max().unwrap_or(0)
    }

    fn sent_away(&self) -> bool {
        self.leader.frames_to(CHANNEL).iter().any(|frame| matches!(frame, SchedulerFrame::NotLeader { .. }))
    }

    fn answer_to(&self, wanted: u64) -> CallResult<AnswerBody> {
        let answer = self.leader.frames_to(CHANNEL).into_iter().find_map(|frame| match frame {
            SchedulerFrame::Answer { request, result } if *request == wanted => Some(result.clone()),
            _ => None,
        });
        answer.unwrap_or_else(|| panic!("{wanted} has no answer"))
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
    let mut scene = Scene::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    scene.report(1, 0, WORKERS - 1);
    scene.run(500);
    scene.report(2, WORKERS - 1, 1);
    scene.run(500);
    assert_eq!((scene.acknowledged(), scene.draining()), (2, WORKERS));
}

#[test]
fn a_report_that_the_log_had_no_room_for_is_not_covered_by_a_later_acknowledgement() {
    let mut scene = Scene::new(|settings| {
        (settings.log.max_command_bytes, settings.log.max_uncommitted_bytes) = (MOST_UNCOMMITTED_BYTES, MOST_UNCOMMITTED_BYTES);
    });
    scene.leader.sync_ms = SYNC_MS;
    for report in 0..4 {
        scene.report(report + 1, report as usize * FACTS_A_REPORT, FACTS_A_REPORT);
        scene.run(50);
    }
    scene.run(20 * SYNC_MS);
    scene.report(5, 4 * FACTS_A_REPORT, FACTS_A_REPORT);
    scene.run(20 * SYNC_MS);
    assert_eq!((scene.acknowledged(), scene.draining()), (5, 5 * FACTS_A_REPORT));
}

#[test]
fn a_report_is_not_acknowledged_before_the_last_of_its_batches_is_in_the_log() {
    let mut scene = Scene::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    scene.leader.sync_ms = SYNC_MS;
    scene.report(1, 0, WORKERS);
    for _ in 0..20 * SYNC_MS / TICK_MS {
        scene.run(TICK_MS);
        assert!(scene.acknowledged() == 0 || scene.draining() == WORKERS, "{} of {WORKERS} are in the log", scene.draining());
    }
    assert_eq!(scene.acknowledged(), 1);
}

#[test]
fn a_channel_is_closed_when_a_fact_can_never_get_into_the_log() {
    let mut scene = Scene::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    let checkpoint = AttemptCheckpoint { attempt: "7.0.1.1".parse().unwrap(), checkpoint: "c".repeat(2 * MOST_COMMAND_BYTES) };
    let facts = vec![WorkerFacts { checkpoints: vec![checkpoint], ..scene.wants_to_drain(0) }];
    scene.leader.frame(CHANNEL, GatewayFrame::Facts { report: 1, facts });
    scene.report(2, 1, 1);
    scene.run(500);
    assert_eq!((scene.acknowledged(), scene.sent_away()), (0, true));
}

#[test]
fn a_call_beside_a_command_that_is_too_large_is_taken() {
    let mut scene = Scene::new(|settings| settings.log.max_command_bytes = MOST_COMMAND_BYTES);
    let submit = |name: &str, bytes: usize| {
        let mut spec = JobSpec::single(name, "q", "s", 1, 100, 100);
        spec.steps[0].payload = Payload(serde_json::Value::String("p".repeat(bytes)));
        CallBody::SubmitJob(cluster_messages::SubmitJob { spec })
    };
    scene.leader.sync_ms = SYNC_MS;
    // The first one occupies the log, so that the others gather in one batch.
    for (request, bytes) in [(101, 10), (102, 10), (103, 10), (104, 2 * MOST_COMMAND_BYTES), (105, 10)] {
        scene.ask(request, submit(&format!("j{request}"), bytes));
    }
    scene.run(20 * SYNC_MS);
    assert!([101, 102, 103, 105].into_iter().all(|request| scene.answer_to(request).is_ok()));
    assert!(matches!(scene.answer_to(104), Err(CallError::TooLarge { .. })));
}

#[test]
fn a_report_without_facts_is_acknowledged() {
    let mut scene = Scene::new(|_| {});
    scene.report(1, 0, 0);
    assert_eq!(scene.acknowledged(), 1);
}
