use crate::prelude::*;

/// The report that a command is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPart {
    /// The channel on which it came.
    pub channel: ChannelId,
    /// Its number.
    pub report: u64,
}

/// Where a command comes from, and how long it is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandOrigin {
    /// Who waits for its answer.
    pub waiter: Waiter,
    /// The report that it is part of.
    pub report: Option<ReportPart>,
    /// When its caller's time is spent.
    pub until: Millis,
    /// Since when it waits.
    pub since: Millis,
}

/// A command that waits to be put in the log.
#[derive(Clone, Debug)]
pub struct QueuedCommand {
    /// The command.
    pub command: Command,
    /// Where it comes from.
    pub origin: CommandOrigin,
}

/// Commands that the log refused, in their order, and why.
#[derive(Clone, Debug)]
pub struct RefusedBatch {
    /// The commands.
    pub queued: Vec<QueuedCommand>,
    /// Why.
    pub error: ProposeError,
}

impl QueuedCommand {
    /// A command that nobody waits for.
    pub fn own(command: Command, since: Millis) -> Self {
        QueuedCommand { command, origin: CommandOrigin { waiter: None, report: None, until: Millis::MAX, since } }
    }

    /// A fact of a gateway's report.
    pub fn fact(facts: WorkerFacts, part: ReportPart, since: Millis) -> Self {
        let own = Self::own(Command::Facts(facts), since);
        QueuedCommand { origin: CommandOrigin { report: Some(part), ..own.origin }, ..own }
    }

    /// Whether it goes back to the inbox when the log refuses it. Callers are told to come back, and placement works out its starts anew;
    /// for all else nobody would ask again.
    pub fn is_kept(&self) -> bool {
        self.origin.waiter.is_none() && !matches!(self.command, Command::Start { .. } | Command::Preempt(_))
    }

    /// Whether its caller has gone.
    pub fn is_spent(&self, now: Millis) -> bool {
        self.origin.waiter.is_some() && now >= self.origin.until
    }
}
