use crate::prelude::*;

/// What happens to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time passed.
    Tick {
        /// The machine's wall clock.
        wall_ms: Millis,
    },
    /// A decoded message arrived.
    Message(Message),
    /// The bytes of a message arrived.
    Wire(Vec<u8>),
    /// A caller wants a command in the log.
    Propose {
        /// Echoed in the answer.
        token: Token,
        /// The command.
        command: Vec<u8>,
    },
    /// A caller wants a change of membership.
    ProposeMembership {
        /// Echoed in the answer.
        token: Token,
        /// The change.
        change: MembershipChange,
    },
    /// Another member should lead.
    TransferLeadership {
        /// Echoed in the answer.
        token: Token,
        /// The next leader.
        to: NodeId,
    },
    /// All writes up to this ticket are synced.
    Persisted {
        /// The last synced write.
        ticket: Ticket,
    },
    /// The state machine made a snapshot of itself.
    SnapshotMade {
        /// Last entry applied to it.
        index: Index,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}
