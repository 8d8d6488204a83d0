use crate::prelude::*;

/// A channel to a gateway, numbered by the executor from 1.
pub type ChannelId = u64;

/// Stands for the process itself where a call's channel is named.
pub const OWN_PROCESS: ChannelId = 0;

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerInput {
    /// Time passed.
    Tick {
        /// The machine's wall clock.
        wall_ms: Millis,
        /// All frames of gateways that arrived before this time have been handed over.
        read_to: Millis,
    },
    /// A frame of another scheduler.
    Peer(Vec<u8>),
    /// A gateway opened a channel.
    GatewayUp(ChannelId),
    /// A gateway's frame.
    Gateway {
        /// The channel that it came on.
        channel: ChannelId,
        /// When it arrived, by this machine's clock.
        arrived_at: Millis,
        /// The frame.
        frame: Box<GatewayFrame>,
    },
    /// A gateway's channel is gone.
    GatewayDown(ChannelId),
    /// All writes up to this ticket are synced.
    Persisted(u64),
    /// A call that came in at this process itself, to be answered by one `Answer`.
    Call {
        /// The executor's number for it, never used again.
        call: u64,
        /// What is left of the caller's time.
        time_budget_ms: Millis,
        /// The call.
        body: Box<CallBody>,
    },
    /// The process is about to end: whoever leads hands over.
    Leave,
}

impl SchedulerInput {
    /// Its sort, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            SchedulerInput::Tick { .. } => "tick",
            SchedulerInput::Peer(_) => "peer",
            SchedulerInput::GatewayUp(_) => "gateway up",
            SchedulerInput::Gateway { .. } => "gateway",
            SchedulerInput::GatewayDown(_) => "gateway down",
            SchedulerInput::Persisted(_) => "persisted",
            SchedulerInput::Call { .. } => "call",
            SchedulerInput::Leave => "leave",
        }
    }
}

/// What an executor must do, in this order.
#[derive(Clone, Debug)]
pub enum SchedulerEffect {
    /// Write and sync, then give back `Persisted`.
    Persist(PersistRequest),
    /// Send to a scheduler; it may be lost.
    Peer {
        /// Its address.
        address: String,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// Send to a gateway. Frames that several gateways get are shared, so that they need to be encoded once.
    Gateway(ChannelId, Arc<SchedulerFrame>),
    /// Answer a call that came in at this process, for good.
    Answer {
        /// Its number.
        call: u64,
        /// The answer.
        result: Box<CallResult<AnswerBody>>,
    },
    /// Its state can't be carried on: the process has to end.
    Halt(Arc<HaltReason>),
    /// Leadership won or lost, for the log lines.
    Leading(Option<u64>),
}
