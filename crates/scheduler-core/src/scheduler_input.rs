use crate::prelude::*;

/// A channel to a gateway, numbered by the executor.
pub type ChannelId = u64;

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerInput {
    /// Time passed.
    Tick {
        /// The machine's wall clock.
        wall_ms: Millis,
    },
    /// A frame of another scheduler.
    Peer(Vec<u8>),
    /// A gateway opened a channel.
    GatewayUp(ChannelId),
    /// A gateway's frame.
    Gateway(ChannelId, GatewayFrame),
    /// A gateway's channel is gone.
    GatewayDown(ChannelId),
    /// All writes up to this ticket are synced.
    Persisted(u64),
    /// The process is about to end: whoever leads hands over.
    Leave,
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
    /// Send to a gateway.
    Gateway(ChannelId, Box<SchedulerFrame>),
    /// Its state can't be carried on: the process has to end.
    Halt(Arc<HaltReason>),
    /// Leadership won or lost, for the log lines.
    Leading(Option<u64>),
}
