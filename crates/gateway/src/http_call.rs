use crate::prelude::*;

/// Most bytes of a body, for most calls.
const USUAL_BODY: usize = 1 << 20;

/// A call that can be read from a request. One generic handler serves all that have this.
pub trait HttpCall: ControlCall + Send + 'static
where
    Self::Answer: Send,
{
    /// Most bytes of its body.
    const MOST_BODY: usize = USUAL_BODY;

    /// Reads it.
    fn read(input: &CallInput) -> Result<Self, CallError>;

    /// The status of its answer.
    fn status(_: &Self::Answer) -> StatusCode {
        StatusCode::OK
    }

    /// Whether only the elected scheduler's answer will do.
    fn wants_scheduler(_: &CallInput) -> bool {
        false
    }
}
