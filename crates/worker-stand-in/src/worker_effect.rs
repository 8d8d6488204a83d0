use crate::prelude::*;

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum WorkerAnswer {
    /// To a start.
    Start(StartAnswer),
    /// To a stop.
    Stop(StopAnswer),
    /// To a hold.
    Hold(HoldAnswer),
}

/// What comes of a step, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEffect {
    /// Answer the order.
    Answer { token: Token, answer: WorkerAnswer },
    /// The order will never be answered.
    Silence { token: Token },
    /// The order was not carried out: its fence is below one seen before.
    Refuse { token: Token },
    /// The order is for another life of the worker.
    OtherLife { token: Token },
    /// Send `POST /v1/workers` to a gateway, and tell whether it was answered.
    Register(RegisterWorker),
    /// A member of a gang that ends together is there, and works once all members are.
    MemberCame(GangMember),
    /// A member of such a gang runs no more.
    MemberLeft(AttemptId),
    /// Seen from outside.
    Observe(Observation),
}

/// A member of a gang that ends together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GangMember {
    /// Its attempt; its number is that of the gang's run.
    pub attempt: AttemptId,
    /// How many members the gang has.
    pub members: u32,
    /// How long it works; `None`: until it is stopped.
    pub run_ms: Option<Millis>,
    /// How it would end by itself.
    pub outcome: Outcome,
}
