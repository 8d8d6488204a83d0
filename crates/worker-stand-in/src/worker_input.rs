use crate::prelude::*;

/// Names one order, so that its answer finds the way back.
pub type Token = u64;

/// What a worker takes.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerInput {
    /// `POST /start`.
    Start { token: Token, order: StartOrder },
    /// `POST /stop`.
    Stop { token: Token, order: StopOrder },
    /// `POST /hold`.
    Hold { token: Token, order: HoldOrder },
    /// Its registration was answered, or not.
    Registered(bool),
    /// It errs like this from now on.
    Behave(Behaviour),
    /// Its process ends; a new one with this boot id begins after `away_ms`, and knows nothing.
    Die { boot_id: String, away_ms: Millis },
    /// The gang of a member that runs here is over.
    MemberEnds { attempt: AttemptId, outcome: Outcome },
    /// Time has passed.
    Tick,
}
