use scheduler_core::prelude::*;

/// A scheduler that founds a cluster of one, with a disk that syncs at once.
struct Lone {
    core: Scheduler,
    now: Millis,
    halted: Option<String>,
    frames: Vec<SchedulerFrame>,
}

impl Lone {
    fn new(voters: usize) -> Self {
        let mut s = SchedulerSettings::new("c", "a:1", "z1", 1_000);
        s.founders = vec!["a:1".into()];
        s.voters = voters;
        let core = Scheduler::new(s, 7, RestoredState::joining(), 0, 1).unwrap();
        let mut l = Lone { core, now: 0, halted: None, frames: Vec::new() };
        for _ in 0..200 {
            l.tick();
        }
        assert!(l.core.is_serving(l.now));
        l
    }

    fn tick(&mut self) {
        self.now += 25;
        self.step(SchedulerInput::Tick { wall_ms: 1_000_000 + self.now, read_to: self.now });
    }

    fn step(&mut self, input: SchedulerInput) {
        let mut todo = vec![input];
        while let Some(i) = todo.pop() {
            for e in self.core.step(self.now, i) {
                match e {
                    SchedulerEffect::Persist(r) => todo.push(SchedulerInput::Persisted(r.ticket)),
                    SchedulerEffect::Halt(reason) => self.halted = Some(reason.to_string()),
                    SchedulerEffect::Gateway(_, f) => self.frames.push((*f).clone()),
                    _ => {}
                }
            }
        }
    }

    fn gateway(&mut self, frame: GatewayFrame) {
        self.step(SchedulerInput::Gateway { channel: 1, arrived_at: self.now, frame: Box::new(frame) });
    }

    fn attach(&mut self) {
        self.step(SchedulerInput::GatewayUp(1));
        self.gateway(attach_frame(WIRE_VERSION));
        self.tick();
    }
}

/// What a gateway that speaks this version introduces itself with.
fn attach_frame(wire_version: u32) -> GatewayFrame {
    GatewayFrame::Attach {
        wire_version,
        cluster: "c".into(),
        name: "g".into(),
        instance: 1,
        zone: "z1".into(),
        http_address: "g:1".into(),
        view: 0,
        configuration: 0,
    }
}

#[test]
fn the_rules_of_the_first_leader_are_in_the_log() {
    let l = Lone::new(5);
    assert_eq!(l.core.state().tables.rules.voters, 5);
}

/// An entry that this build can't read must not be passed over: the state would differ from there on.
#[test]
fn an_unreadable_entry_halts_the_scheduler() {
    let mut restored = RestoredState::joining();
    let body = LogEntryBody::Membership(Membership::of_voters([(7, MemberAddress::new("a:1", "z1"))]));
    restored.entries.push(LogEntry { term: 0, index: 1, log_time: 0, body });
    restored.entries.push(LogEntry { term: 0, index: 2, log_time: 0, body: LogEntryBody::Command(vec![99, 1, 2]) });
    let s = SchedulerSettings::new("c", "a:1", "z1", 1_000);
    let core = Scheduler::new(s, 7, restored, 0, 1).unwrap();
    let mut l = Lone { core, now: 0, halted: None, frames: Vec::new() };
    for _ in 0..200 {
        l.tick();
    }
    assert!(l.halted.as_ref().is_some_and(|h| h.contains("entry 2")), "{:?}", l.halted);
    assert!(l.core.step(l.now, SchedulerInput::Tick { wall_ms: 0, read_to: l.now }).is_empty());
}

#[test]
fn a_call_whose_time_is_over_is_not_put_in_the_log() {
    let mut l = Lone::new(1);
    l.attach();
    let before = l.core.state().tables.next_job;
    let spec = JobSpec::single("j", "q", "s", 1, 1, 1);
    let ask = |request, time_budget_ms, spec| GatewayFrame::Ask {
        request,
        time_budget_ms,
        body: CallBody::SubmitJob(cluster_messages::SubmitJob { spec }),
    };
    l.frames.clear();
    // The first takes the slot of this moment; the second waits for the next one, and its caller doesn't.
    l.gateway(ask(1, 5_000, JobSpec { name: "first".into(), ..spec.clone() }));
    l.gateway(ask(2, 0, spec));
    l.tick();
    l.tick();
    assert_eq!(l.core.state().tables.next_job, before + 1);
    let spent = |f: &&SchedulerFrame| matches!(f, SchedulerFrame::Answer { request: 2, result: Err(CallError::TimeBudgetSpent { .. }) });
    assert_eq!(l.frames.iter().filter(spent).count(), 1);
}

#[test]
fn another_wire_version_is_shed_by_type() {
    let mut l = Lone::new(1);
    l.gateway(attach_frame(WIRE_VERSION + 1));
    assert!(matches!(l.frames.last(), Some(SchedulerFrame::Shed(CallError::UnknownVersion { .. }))));
}
