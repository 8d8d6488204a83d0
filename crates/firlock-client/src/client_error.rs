use crate::prelude::*;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No addresses were given.
    #[snafu(display("no gateway is named"))]
    NoGateways,
    /// A gateway answered with an error.
    #[snafu(display("{error}"))]
    Answered { error: CallError },
    /// No gateway could be reached.
    #[snafu(display("no gateway could be reached: {}", tries.iter().map(|(g, e)| format!("{g}: {e}")).collect::<Vec<_>>().join("; ")))]
    Unreachable { tries: Vec<(String, TransportError)> },
    /// Something answered that speaks another API.
    #[snafu(display("{gateway}: {error}"))]
    Unreadable { gateway: String, error: TryError },
}

impl ClientError {
    /// The gateway's own error, where it is one.
    pub fn call_error(&self) -> Option<&CallError> {
        match self {
            ClientError::Answered { error } => Some(error),
            _ => None,
        }
    }
}
