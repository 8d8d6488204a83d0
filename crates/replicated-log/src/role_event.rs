use crate::prelude::*;

/// What moves a replica between roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleEvent {
    /// The leader was silent for too long, or a run took too long.
    ElectionTimeout,
    /// A quorum would vote for us.
    PreVoteWon,
    /// We led the newest term we know of, and were restarted.
    LeadReclaimed,
    /// The leader handed over to us.
    TransferReceived,
    /// A quorum voted for us.
    VoteWon,
    /// A leader of our term spoke.
    LeaderHeard,
    /// A newer term was seen.
    HigherTerm,
    /// The leader heard no quorum.
    QuorumLost,
    /// The leader gave up for another.
    Abdicated,
    /// The membership in force gives us a vote.
    VoteGained,
    /// The membership in force gives us none.
    VoteLost,
}
