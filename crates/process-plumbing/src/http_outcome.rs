use crate::prelude::*;

/// What came of an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpOutcome {
    /// It was answered.
    Answer(StatusCode, Bytes),
    /// Provably nothing of its body was written, and nothing will be.
    NotSent,
    /// It may or may not have arrived.
    Unknown,
}
