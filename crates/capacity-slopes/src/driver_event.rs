use crate::prelude::*;

/// An order on its way to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    /// `POST /start`.
    Start(StartOrder),
    /// `POST /stop`.
    Stop(StopOrder),
    /// `POST /hold`.
    Hold(HoldOrder),
}

/// Something that happens at a time.
#[derive(Debug)]
pub enum DriverEvent {
    /// A scheduler's tick.
    SchedulerTick(usize),
    /// A gateway's tick.
    GatewayTick(usize),
    /// A worker's tick.
    WorkerTick(usize),
    /// A scheduler's frame reaches another.
    Peer { to: usize, bytes: Vec<u8> },
    /// A dial is over.
    Dialled { gateway: usize, address: String },
    /// A gateway's frame reaches its scheduler.
    Up { channel: u64, bytes: Vec<u8> },
    /// A scheduler's frame reaches its gateway.
    Down { channel: u64, bytes: Vec<u8> },
    /// A channel's end reaches its scheduler.
    Closed { channel: u64, scheduler: usize },
    /// A disk has synced.
    Synced { scheduler: usize, ticket: u64 },
    /// An order reaches its worker.
    OrderArrives { call: u64, worker: usize, order: Order },
    /// Its answer reaches the gateway.
    OrderOver { call: u64, answer: WorkerAnswer },
    /// A call reaches a gateway.
    Ask { gateway: usize, body: Box<CallBody> },
    /// A worker's registration is answered.
    Registered { worker: usize, ok: bool },
    /// The next job of the load.
    NextJob,
    /// The next change of the configuration.
    NextChange,
}
