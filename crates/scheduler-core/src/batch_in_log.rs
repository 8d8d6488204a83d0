use crate::prelude::*;

/// A batch in the log that isn't applied yet.
#[derive(Clone, Debug, Default)]
pub struct BatchInLog {
    /// Who waits for the answers of its commands, in their order.
    pub waiters: Vec<Waiter>,
    /// Whether it holds starts.
    pub starts: bool,
}
