use crate::prelude::*;

/// A batch in the log that isn't applied yet.
#[derive(Clone, Debug, Default)]
pub struct BatchInLog {
    /// Where its commands come from, in their order.
    pub origins: Vec<CommandOrigin>,
    /// Whether it holds starts.
    pub starts: bool,
}
