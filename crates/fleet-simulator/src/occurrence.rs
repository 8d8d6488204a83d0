use crate::prelude::*;

/// Which way a frame goes.
#[derive(Clone, Debug)]
pub enum Direction {
    /// To the scheduler.
    Up(GatewayFrame),
    /// To the gateway.
    Down(SchedulerFrame),
}

/// An order on its way to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    /// `POST /start`.
    Start(cluster_messages::prelude::StartOrder),
    /// `POST /stop`.
    Stop(cluster_messages::prelude::StopOrder),
    /// `POST /hold`.
    Hold(cluster_messages::prelude::HoldOrder),
}

/// What a gateway learns of an order's fate.
#[derive(Clone, Debug)]
pub enum WorkerReply {
    /// An answer.
    Answer(WorkerAnswer),
    /// Provably nothing was sent.
    NotSent,
    /// Nobody knows.
    Unknown,
    /// Another life of the worker answered.
    OtherLife,
}

/// Something that happens at a time.
#[derive(Debug)]
pub enum Occurrence {
    /// A scheduler's tick.
    SchedulerTick(usize, u64),
    /// A scheduler's step is over.
    StepOver(usize, u64),
    /// A gateway's tick.
    GatewayTick(usize, u64),
    /// Callers' and operators' tick.
    ModelTick,
    /// A worker's tick.
    WorkerTick(usize),
    /// A gang that ends together may be over.
    GangDue(GangRun),
    /// A scheduler's frame reaches another.
    Peer { to: usize, bytes: Vec<u8> },
    /// A dial is over: the channel is up if the scheduler is there.
    Dialled { gateway: usize, epoch: u64, address: String },
    /// A frame arrives on a channel.
    Frame { channel: u64, direction: Box<Direction> },
    /// A channel's end reaches its gateway's side.
    GatewayChannelDown { channel: u64 },
    /// A channel's end reaches its scheduler's side.
    SchedulerChannelDown { channel: u64 },
    /// A disk has synced what was staged at that time.
    Synced { scheduler: usize, epoch: u64, writes: usize },
    /// Planted: a write counts as synced while it isn't.
    Acked { scheduler: usize, epoch: u64, ticket: u64 },
    /// The gateway's executor writes the order out, or finds that it is too late.
    OrderLeaves { call: u64, gateway: usize, epoch: u64, worker: usize, order: Order, leave_by: Option<Millis> },
    /// An order reaches its worker.
    OrderArrives { call: u64, gateway: usize, worker: usize, order: Order },
    /// What came of an order reaches the gateway.
    OrderOver { call: u64, reply: WorkerReply },
    /// A call reaches a gateway.
    Ask { gateway: usize, origin: Origin, time_budget_ms: Millis, body: Box<CallBody> },
    /// An answer reaches whoever asked.
    AskOver { origin: Origin, result: Box<CallResult<AnswerBody>> },
    /// A call's channel broke.
    AskLost { origin: Origin },
    /// A fault begins.
    Fault(Fault),
    /// A scheduler's process starts (again).
    SchedulerUp { scheduler: usize, fresh_disk: bool },
    /// A gateway's process starts (again).
    GatewayUp(usize),
    /// The load ends: everything heals.
    Calm,
    /// Everything remembered is read once more.
    FinalReads,
}
