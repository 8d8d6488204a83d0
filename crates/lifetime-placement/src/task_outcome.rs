use crate::prelude::*;

/// How a task left its worker, as far as its lifetime can be learned from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum TaskOutcome {
    /// It ran to its own end: its lifetime is learned.
    #[n(0)]
    Finished,
    /// It ended in an error: learned as cut short, so that a worker which
    /// fails all it starts can't teach that tasks are brief.
    #[n(1)]
    Failed,
    /// It was cancelled, drained or lost with its worker: learned as cut short.
    #[n(2)]
    Stopped,
    /// It is proven never to have started: nothing is learned.
    #[n(3)]
    NeverStarted,
}
