use crate::prelude::*;

/// A caller's call on its way to the core.
#[derive(Debug)]
pub struct AskEvent {
    /// What is left of the caller's time.
    pub time_budget_ms: Millis,
    /// The call.
    pub body: CallBody,
    /// Where the answer goes.
    pub reply: oneshot::Sender<CallResult<AnswerBody>>,
}
