use crate::prelude::*;

/// Bytes of the headers between a gateway and a worker, as read off a loopback channel between the gateway's HTTP client
/// and a stand-in worker's server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HttpHeaders {
    /// Request line and headers of a request.
    pub request: usize,
    /// Status line and headers of an answer.
    pub answer: usize,
}

impl Default for HttpHeaders {
    fn default() -> Self {
        HttpHeaders { request: 98, answer: 109 }
    }
}
