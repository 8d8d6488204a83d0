use crate::prelude::*;

/// What the executor must do, in this order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write and sync, then give back `Input::Persisted`.
    Persist(PersistRequest),
    /// Send; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Replace the state machine's state.
    InstallSnapshot(Arc<Snapshot>),
    /// Apply these committed entries, in order.
    Commit {
        /// Entries right after the last applied.
        entries: Vec<LogEntry>,
    },
    /// The proposal stands at this index; it is durable once it is committed there
    /// with this term.
    Proposed {
        /// The caller's token.
        token: Token,
        /// Where it stands.
        index: Index,
        /// In which term.
        term: Term,
    },
    /// The proposal was shed; it is not in the log.
    Shed {
        /// The caller's token.
        token: Token,
        /// Why.
        error: ProposeError,
    },
    /// The handover started.
    TransferStarted {
        /// The caller's token.
        token: Token,
    },
    /// This replica leads; the state machine is current only after the first
    /// commit of this term.
    BecameLeader {
        /// The term.
        term: Term,
    },
    /// This replica leads no more.
    LostLeadership {
        /// The term it led.
        term: Term,
    },
    /// The log has outgrown its bound: make a snapshot of the state machine.
    SnapshotDue {
        /// Last applied index.
        index: Index,
    },
}
