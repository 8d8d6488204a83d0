use crate::prelude::*;

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayInput {
    /// Time passed; every 20 to 50 ms.
    Tick,
    /// A dialled channel is open.
    ChannelUp { channel: ChannelId, address: String },
    /// A channel broke or was closed by the other side.
    ChannelDown { channel: ChannelId },
    /// A dialled channel can't be opened.
    DialFailed { address: String },
    /// A scheduler's frame.
    Frame { channel: ChannelId, frame: SchedulerFrame },
    /// A call of a caller or operator, to be answered by one `Answer`.
    Ask { ask: u64, time_budget_ms: Millis, body: CallBody },
    /// The settings name other schedulers to ask first.
    Seeds(Vec<String>),
    /// What came of a `Start`.
    StartAnswered { attempt: AttemptId, reply: Reply<StartAnswer> },
    /// What came of a `Stop`.
    StopAnswered { attempt: AttemptId, worker: Name, reply: Reply<StopAnswer> },
    /// What came of a `Hold`.
    HoldAnswered { worker: Name, address: String, reply: Reply<HoldAnswer> },
}
