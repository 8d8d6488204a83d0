use crate::prelude::*;

/// What a replica counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Messages of an unknown version.
    pub unknown_version: u64,
    /// Bytes that were no message.
    pub malformed: u64,
    /// Messages of another cluster.
    pub other_cluster: u64,
    /// Messages for another id.
    pub misrouted: u64,
    /// Messages of an old term, or from ids that left.
    pub stale: u64,
    /// Vote requests ignored because a leader lives.
    pub votes_ignored: u64,
    /// Elections started.
    pub campaigns: u64,
    /// Elections won.
    pub elections_won: u64,
    /// Times the leader stepped down because it heard no quorum.
    pub quorum_lost: u64,
    /// Events without a transition in the role chart.
    pub illegal_transitions: u64,
    /// Appends that would have changed committed entries; always a fault.
    pub committed_conflicts: u64,
    /// Proposals shed.
    pub shed: u64,
    /// Entries truncated.
    pub truncated: u64,
    /// Snapshots installed from a leader.
    pub snapshots_installed: u64,
}

impl Counters {
    /// Counts bytes that were no message.
    pub fn count_message_error(&mut self, error: &MessageError) {
        match error {
            MessageError::UnknownVersion { .. } => self.unknown_version += 1,
            _ => self.malformed += 1,
        }
    }
}
