use crate::prelude::*;

/// Why a proposal was shed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Snafu)]
#[snafu(visibility(pub))]
pub enum ProposeError {
    /// Another member leads, or none.
    #[snafu(display("not the leader; try {hint:?}"))]
    NotLeader {
        /// The leader as far as known.
        hint: Option<NodeId>,
    },
    /// Too much is uncommitted.
    #[snafu(display("{bytes} uncommitted bytes are held already"))]
    Overloaded {
        /// Bytes held.
        bytes: usize,
    },
    /// The command is larger than the bound.
    #[snafu(display("a command of {bytes} bytes, the limit is {limit}"))]
    TooLarge {
        /// Bytes given.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The leader is handing over.
    #[snafu(display("leadership is on its way to {to}"))]
    Transferring {
        /// The next leader.
        to: NodeId,
    },
    /// Another change of membership is not committed yet.
    #[snafu(display("the membership change at {index} is not committed yet"))]
    ChangeInFlight {
        /// Where it stands.
        index: Index,
    },
    /// The leader has committed nothing in its term yet.
    #[snafu(display("the leader's term {term} has no committed entry yet"))]
    TermNotCommitted {
        /// The leader's term.
        term: Term,
    },
    /// The learner lags.
    #[snafu(display("member {id} lacks {behind} entries"))]
    NotCaughtUp {
        /// The learner.
        id: NodeId,
        /// Entries it lacks.
        behind: Index,
    },
    /// The id left earlier.
    #[snafu(display("member {id} left and cannot come back under this id"))]
    Retired {
        /// The id.
        id: NodeId,
    },
    /// The id is a member.
    #[snafu(display("{id} is a member already"))]
    AlreadyMember {
        /// The id.
        id: NodeId,
    },
    /// The id is no member of the needed kind.
    #[snafu(display("{id} is no such member"))]
    UnknownMember {
        /// The id.
        id: NodeId,
    },
    /// Nobody would be left.
    #[snafu(display("{id} is the last voter"))]
    LastVoter {
        /// The id.
        id: NodeId,
    },
}
