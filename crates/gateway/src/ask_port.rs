use crate::prelude::*;

/// Retry hint when the way to the core is full.
const HINT_MS: Millis = 200;

/// Where handlers hand calls to the core: bounded, and shed at once when full.
#[derive(Clone, Debug)]
pub struct AskPort {
    asks: mpsc::Sender<AskEvent>,
}

impl AskPort {
    /// A port, and the end that the core's task reads.
    pub fn new(bound: usize) -> (Self, mpsc::Receiver<AskEvent>) {
        let (asks, rx) = mpsc::channel(bound);
        (AskPort { asks }, rx)
    }

    /// Asks, and waits for the one final answer.
    pub async fn ask(&self, time_budget_ms: Millis, body: CallBody) -> CallResult<AnswerBody> {
        let (reply, answer) = oneshot::channel();
        let shed = || CallError::Shed { limit: "gateway ask port".into(), retry_after_ms: HINT_MS };
        self.asks.try_send(AskEvent { time_budget_ms, body, reply }).map_err(|_| shed())?;
        // The core answers each ask; a closed port means that this process is ending.
        answer.await.unwrap_or(Err(CallError::TimeBudgetSpent { retry_after_ms: HINT_MS }))
    }
}
