use crate::prelude::*;

/// What went wrong with one try.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TryError {
    /// Nothing usable came back.
    #[snafu(display("{source}"))]
    Transport { source: TransportError },
    /// The gateway answered with an error.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The answer is not of this API.
    #[snafu(display("status {status} with an answer that can't be read ({source}); is this a gateway?"))]
    Unreadable { status: u16, source: serde_json::Error },
}

impl TryError {
    /// Whether another try may go better. Every call may be sent again: names and ids make it the same call.
    pub fn may_pass(&self) -> bool {
        match self {
            TryError::Transport { source } => !matches!(source, TransportError::Address { .. } | TransportError::TooLong { .. }),
            TryError::Call { source } => source.retry_after_ms().is_some(),
            TryError::Unreadable { .. } => false,
        }
    }

    /// When the gateway asks the caller to come back.
    pub fn retry_after_ms(&self) -> Option<Millis> {
        match self {
            TryError::Call { source } => source.retry_after_ms(),
            _ => None,
        }
    }
}
