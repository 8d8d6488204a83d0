use crate::prelude::*;

/// Heartbeats in one election timeout.
pub const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;
/// Share of the election timeout for which an acknowledgement carries the lease,
/// in thousandths. The rest is the margin for clocks that run at unlike speeds.
pub const LEASE_PERMILLE: u64 = 800;
/// Uncommitted bytes a leader holds, in batches, before it sheds proposals.
pub const UNCOMMITTED_BATCHES: usize = 64;
/// Log bytes since the last snapshot, in batches, after which one is due.
pub const SNAPSHOT_AFTER_BATCHES: usize = 64;
/// Bytes of already snapshotted entries kept for lagging members, in batches.
pub const KEPT_TAIL_BATCHES: usize = 16;
/// Election timeouts for which a member's last wall clock reading counts.
pub const WALL_CLOCK_TIMEOUTS: u64 = 5;

/// Bounds of a replica. Every other figure of the crate is a ratio to one of them.
///
/// ```
/// use replicated_log::prelude::*;
/// let settings = LogSettings::default();
/// assert_eq!(settings.heartbeat_ms, settings.election_timeout_ms / 5);
/// assert!(settings.lease_ms() < settings.election_timeout_ms);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LogSettings {
    /// Shortest silence after which a follower seeks election; the true one is
    /// drawn from one to two of these.
    pub election_timeout_ms: Millis,
    /// Pause between two messages of a leader to a member.
    pub heartbeat_ms: Millis,
    /// Bytes of entries in one append.
    pub max_batch_bytes: usize,
    /// Appends on their way to one member.
    pub max_inflight_batches: usize,
    /// Bytes of one command.
    pub max_command_bytes: usize,
    /// Bytes of uncommitted commands a leader holds before it sheds.
    pub max_uncommitted_bytes: usize,
    /// Bytes of one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot a member takes from a leader.
    pub max_snapshot_bytes: u64,
    /// Bytes of entries past the last snapshot after which a new one is due.
    pub snapshot_after_bytes: usize,
    /// Bytes of snapshotted entries kept in memory for members that lag a little.
    pub kept_tail_bytes: usize,
    /// Entries a learner may lack when it is promoted.
    pub caught_up_entries: Index,
    /// Whether members are told of a commit at once, or with the next append or heartbeat.
    pub push_commits: bool,
    /// Memory the store's page cache may use.
    pub store_cache_bytes: u64,
}

impl LogSettings {
    /// Settings with every bound derived from an election timeout and a batch size.
    pub fn from_bounds(election_timeout_ms: Millis, max_batch_bytes: usize) -> Self {
        Self {
            election_timeout_ms,
            heartbeat_ms: max(1, election_timeout_ms / HEARTBEATS_PER_ELECTION_TIMEOUT),
            max_batch_bytes,
            max_inflight_batches: 8,
            max_command_bytes: max_batch_bytes * 4,
            max_uncommitted_bytes: max_batch_bytes * UNCOMMITTED_BATCHES,
            snapshot_chunk_bytes: max_batch_bytes,
            max_snapshot_bytes: 256 << 20,
            snapshot_after_bytes: max_batch_bytes * SNAPSHOT_AFTER_BATCHES,
            kept_tail_bytes: max_batch_bytes * KEPT_TAIL_BATCHES,
            caught_up_entries: 64,
            push_commits: true,
            store_cache_bytes: 2 << 20,
        }
    }

    /// How long after its sending an acknowledged message carries the lease.
    pub fn lease_ms(&self) -> Millis {
        self.election_timeout_ms * LEASE_PERMILLE / 1000
    }

    /// How long a member's wall clock reading counts.
    pub fn wall_clock_ms(&self) -> Millis {
        self.election_timeout_ms * WALL_CLOCK_TIMEOUTS
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self::from_bounds(1000, 64 << 10)
    }
}
