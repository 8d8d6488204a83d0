use crate::prelude::*;

/// A scheduler's place and bounds.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The cluster's name.
    pub cluster: Name,
    /// Where other processes reach it.
    pub address: String,
    /// Its zone.
    pub zone: Name,
    /// Addresses of other schedulers to ask first.
    pub seeds: Vec<String>,
    /// Addresses of the schedulers that found the cluster; the first of them does it once all say that they are new.
    pub founders: Vec<String>,
    /// How many voters the cluster wants.
    pub voters: usize,
    /// Up to how many voters the cluster takes when spares are at hand; 0: never more than it wants.
    pub most_voters: u64,
    /// How long a gateway may be silent before its share goes to others.
    pub gateway_silence_ms: Millis,
    /// How often a worker is heard of at least.
    pub hold_interval_ms: Millis,
    /// How long after their intent all members of a gang must run.
    pub gang_wait_ms: Millis,
    /// Upper bound of the first placement class.
    pub first_class_ms: Millis,
    /// How long a voter may be silent before a spare that has caught up takes its place.
    pub member_silence_ms: Millis,
    /// Policies of placement.
    pub policies: PlacementPolicies,
    /// Bounds of the log.
    pub log: LogSettings,
}

impl SchedulerSettings {
    /// Settings from the bounds that operators set.
    ///
    /// ```
    /// let s = scheduler_core::SchedulerSettings::new("c", "127.0.0.1:1", "z", 1_000);
    /// assert!(s.member_silence_ms > 25_000);
    /// ```
    pub fn new(cluster: &str, address: &str, zone: &str, election_timeout_ms: Millis) -> Self {
        let mut log = LogSettings::from_bounds(election_timeout_ms, LOG_BATCH_BYTES);
        log.max_command_bytes = MOST_COMMAND_BYTES;
        // Nothing reads a follower's state: it may learn of commits with what comes next.
        log.push_commits = false;
        log.max_uncommitted_bytes = 2 * MOST_COMMAND_BYTES;
        // What a restart applies again before it can serve is bounded by this.
        log.snapshot_after_bytes = SNAPSHOT_BATCHES * LOG_BATCH_BYTES;
        log.kept_tail_bytes = SNAPSHOT_BATCHES * LOG_BATCH_BYTES / 4;
        SchedulerSettings {
            cluster: cluster.to_owned(),
            address: address.to_owned(),
            zone: zone.to_owned(),
            seeds: Vec::new(),
            founders: Vec::new(),
            voters: 0,
            most_voters: 0,
            gateway_silence_ms: GATEWAY_SILENCE_TIMEOUTS * election_timeout_ms,
            hold_interval_ms: election_timeout_ms,
            gang_wait_ms: ClusterRules::new(election_timeout_ms).gang_time_budget_ms,
            first_class_ms: ClusterRules::new(election_timeout_ms).first_class_ms,
            member_silence_ms: MEMBER_SILENCE_TIMEOUTS * election_timeout_ms,
            policies: PlacementPolicies::default(),
            log,
        }
    }

    /// How many voters these settings ask for: as set, or as many as founded the cluster, an odd number; `None` where they
    /// say nothing.
    pub fn stated_voters(&self) -> Option<u64> {
        let n = if self.voters > 0 { self.voters } else { self.founders.len() } as u64;
        (n > 0).then(|| n - u64::from(n.is_multiple_of(2)))
    }

    /// How often jobs' news goes to a gateway when nothing urgent takes them along.
    pub fn view_flush_ms(&self) -> Millis {
        self.hold_interval_ms / VIEW_FLUSHES_A_HOLD
    }

    /// The cluster's number in the log's messages.
    pub fn cluster_id(&self) -> u64 {
        let d = Sha256::digest(self.cluster.as_bytes());
        u64::from_be_bytes([d[0], d[1], d[2], d[3], d[4], d[5], d[6], d[7]])
    }
}

/// Bytes of one append.
const LOG_BATCH_BYTES: usize = 64 << 10;
/// Log bytes after which a snapshot is due, in batches.
const SNAPSHOT_BATCHES: usize = 8;
/// Largest command: a whole tree of settings with room to spare.
const MOST_COMMAND_BYTES: usize = 8 << 20;
/// Silence of a gateway, in election timeouts.
const GATEWAY_SILENCE_TIMEOUTS: u64 = 3;
/// Silence of a voter, in election timeouts: longer than a machine is cut off or frozen as a rule.
const MEMBER_SILENCE_TIMEOUTS: u64 = 45;
/// Flushes of jobs' news in one hold interval.
const VIEW_FLUSHES_A_HOLD: u64 = 2;
