use crate::prelude::*;

/// One arrival of a trace: a single task, or the members of a gang.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceArrival {
    /// When it becomes ready.
    pub at: Millis,
    /// Its tasks and their true lifetimes.
    pub tasks: Vec<(TaskToPlace, Millis)>,
}
