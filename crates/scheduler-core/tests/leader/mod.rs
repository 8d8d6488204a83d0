//! A scheduler by itself, driven by hand: its disk, its gateways' channels and its own callers.
#![allow(dead_code)]

use scheduler_core::prelude::*;

/// Between two ticks.
pub const TICK_MS: Millis = 25;
/// Long enough for a lone founder to be elected.
const ELECTED_WITHIN_MS: Millis = 20_000;

/// A scheduler without others that answer.
pub struct Leader {
    pub core: Scheduler,
    pub now: Millis,
    /// How long its disk takes for a sync; 0: it is at once.
    pub sync_ms: Millis,
    /// Frames to gateways.
    pub frames: Vec<(ChannelId, SchedulerFrame)>,
    /// Answers to its own callers.
    pub answers: Vec<CallResult<AnswerBody>>,
    /// Why it halted.
    pub halted: Option<String>,
    unsynced: VecDeque<(Millis, SchedulerInput)>,
}

/// Settings of a cluster of which it is the one founder.
pub fn founder() -> SchedulerSettings {
    let mut settings = SchedulerSettings::new("c", "10.0.0.1:7001", "z1", 1_000);
    settings.founders = vec!["10.0.0.1:7001".into()];
    settings.seeds = settings.founders.clone();
    settings
}

/// What a gateway introduces itself with.
pub fn attach_frame(name: &str, instance: u64) -> GatewayFrame {
    GatewayFrame::Attach {
        wire_version: WIRE_VERSION,
        cluster: "c".into(),
        name: name.into(),
        instance,
        zone: "z1".into(),
        http_address: "10.0.1.1:80".into(),
        view: 0,
        configuration: 0,
    }
}

impl Leader {
    /// One that goes on from what its storage gave back, at time 0.
    pub fn restored(settings: SchedulerSettings, restored: RestoredState) -> Self {
        let core = Scheduler::new(settings, 7, restored, 0, 1).unwrap();
        Leader { core, now: 0, sync_ms: 0, frames: Vec::new(), answers: Vec::new(), halted: None, unsynced: VecDeque::new() }
    }

    /// An elected one.
    pub fn elected(settings: SchedulerSettings) -> Self {
        let mut leader = Self::restored(settings, RestoredState::joining());
        while !leader.core.is_serving(leader.now) {
            leader.run(TICK_MS);
            assert!(leader.now < ELECTED_WITHIN_MS);
        }
        leader
    }

    /// One step, and what its disk brings about at once.
    pub fn step(&mut self, input: SchedulerInput) {
        let mut todo = VecDeque::from([input]);
        while let Some(input) = todo.pop_front() {
            for effect in self.core.step(self.now, input) {
                match effect {
                    SchedulerEffect::Persist(request) if self.sync_ms == 0 => todo.push_back(SchedulerInput::Persisted(request.ticket)),
                    SchedulerEffect::Persist(request) => {
                        self.unsynced.push_back((self.now + self.sync_ms, SchedulerInput::Persisted(request.ticket)));
                    }
                    SchedulerEffect::Gateway(channel, frame) => self.frames.push((channel, (*frame).clone())),
                    SchedulerEffect::Answer { result, .. } => self.answers.push(*result),
                    SchedulerEffect::Halt(reason) => self.halted = Some(reason.to_string()),
                    _ => {}
                }
            }
        }
    }

    /// A tick at the time that it is, after which so much is read.
    pub fn tick(&mut self, read_to: Millis) {
        self.step(SchedulerInput::Tick { wall_ms: 1_000_000 + self.now, read_to });
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: Millis) {
        for _ in 0..for_ms.div_ceil(TICK_MS) {
            self.now += TICK_MS;
            while let Some((_, synced)) = self.unsynced.pop_front_if(|(at, _)| *at <= self.now) {
                self.step(synced);
            }
            self.tick(self.now);
        }
    }

    /// A frame of a gateway that arrives now.
    pub fn frame(&mut self, channel: ChannelId, frame: GatewayFrame) {
        self.late_frame(channel, self.now, frame);
    }

    /// A frame of a gateway that had arrived at that time.
    pub fn late_frame(&mut self, channel: ChannelId, arrived_at: Millis, frame: GatewayFrame) {
        self.step(SchedulerInput::Gateway { channel, arrived_at, frame: Box::new(frame) });
    }

    /// The frames to one gateway.
    pub fn frames_to(&self, wanted: ChannelId) -> Vec<&SchedulerFrame> {
        self.frames.iter().filter(|(channel, _)| *channel == wanted).map(|(_, frame)| frame).collect()
    }
}
