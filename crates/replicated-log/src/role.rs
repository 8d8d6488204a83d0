use crate::prelude::*;

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives the log and votes only when asked.
    Learner,
    /// Receives the log and runs when the leader is silent.
    Follower,
    /// Asks whether a run would be worthwhile.
    PreCandidate,
    /// Runs.
    Candidate,
    /// Leads.
    Leader,
}
