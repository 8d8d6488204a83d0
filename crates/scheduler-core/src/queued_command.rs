use crate::prelude::*;

/// A command that waits to be put in the log.
#[derive(Clone, Debug)]
pub struct QueuedCommand {
    /// The command.
    pub command: Command,
    /// Who waits for its answer.
    pub waiter: Waiter,
    /// When its caller's time is spent.
    pub until: Millis,
    /// Since when it waits.
    pub since: Millis,
}

impl QueuedCommand {
    /// A command that nobody waits for.
    pub fn own(command: Command, since: Millis) -> Self {
        QueuedCommand { command, waiter: None, until: Millis::MAX, since }
    }
}
