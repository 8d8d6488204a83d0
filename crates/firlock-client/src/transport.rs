use crate::prelude::*;

/// Why nothing usable came back from one gateway.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No address of a gateway.
    #[snafu(display("{address:?} is no address of a gateway; write IP:PORT"))]
    Address { address: String, source: hyper::http::Error },
    /// No channel, or it broke.
    #[snafu(display("no answer: {}", root_cause(source)))]
    Channel { source: hyper_util::client::legacy::Error },
    /// The channel broke within the answer.
    #[snafu(display("the answer broke off: {source}"))]
    Body { source: hyper::Error },
    /// The answer is larger than is taken.
    #[snafu(display("the answer has more than {limit} bytes"))]
    TooLong { limit: usize },
    /// Nothing came within its time.
    #[snafu(display("no answer within {after_ms} ms"))]
    TimedOut { after_ms: Millis },
}

/// The words of the innermost cause: the outer ones name libraries.
fn root_cause(e: &dyn std::error::Error) -> String {
    let mut e = e;
    while let Some(s) = e.source() {
        e = s;
    }
    e.to_string()
}

/// Carries one request to one gateway, once.
pub trait Transport {
    /// Sends it; the answer must be whole within the time budget. The gateway is told a little less, for the way back.
    fn send(
        &self,
        gateway: &str,
        request: &HttpRequest,
        time_budget_ms: Millis,
    ) -> impl Future<Output = Result<HttpAnswer, TransportError>> + Send;
}
