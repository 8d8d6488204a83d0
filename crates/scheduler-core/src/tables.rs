use crate::prelude::*;

/// All that a snapshot holds besides the configuration and the placement state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tables {
    /// Bounds of the fold.
    #[n(0)]
    pub rules: ClusterRules,
    /// Number of the next job.
    #[n(1)]
    pub next_job: JobNumber,
    /// Key of the next attempt.
    #[n(2)]
    pub next_key: u64,
    /// Index of the next worker.
    #[n(3)]
    pub next_worker: WorkerIndex,
    /// Number of the next event.
    #[n(4)]
    pub next_event: u64,
    /// Time of the last entry, in cluster time.
    #[n(5)]
    pub log_time: Millis,
    /// Jobs kept.
    #[n(6)]
    pub jobs: BTreeMap<JobNumber, Job>,
    /// The one attempt of each task that is out.
    #[n(7)]
    pub attempts: BTreeMap<TaskId, Attempt>,
    /// Workers known.
    #[n(8)]
    pub workers: BTreeMap<WorkerIndex, WorkerRecord>,
    /// Gateways known.
    #[n(9)]
    pub gateways: BTreeMap<Name, GatewayRecord>,
    /// Zones evacuated.
    #[n(10)]
    pub evacuated: BTreeSet<Name>,
    /// Operators' evacuation orders, the newest last: (order id, zone, on).
    #[n(11)]
    pub orders: VecDeque<(String, Name, bool)>,
    /// Attempts that run though the log gave them up.
    #[n(12)]
    pub orphans: BTreeSet<(WorkerIndex, AttemptId)>,
    /// When each kept configuration version came.
    #[n(13)]
    pub configuration_times: BTreeMap<u64, Millis>,
    /// How often tasks of a queue and kind were stopped as stalled without that proving right: each doubles the patience.
    #[n(16)]
    pub stall_doubts: BTreeMap<(u64, u64), u8>,
    /// When a task was last stopped as stalled, in cluster time.
    #[n(17)]
    pub stalled_at: Millis,
    /// Failed and good attempts of all workers, aged: (good, bad).
    #[n(14)]
    pub fleet_health: (f64, f64),
    /// Unix time at cluster time 0, as last agreed.
    #[n(15)]
    pub unix_at_zero_ms: Option<Millis>,
    /// The operator's text beside the configuration in force.
    #[n(18)]
    pub configuration_source: Option<String>,
    /// Number of the last assignment of a worker to a gateway.
    #[n(19)]
    #[cbor(default)]
    pub last_assignment: u64,
}

impl Tables {
    /// An empty cluster.
    pub fn new(rules: ClusterRules) -> Self {
        Tables {
            rules,
            next_job: 1,
            next_key: 1,
            next_worker: 0,
            next_event: 1,
            log_time: 0,
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            workers: BTreeMap::new(),
            gateways: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            orders: VecDeque::new(),
            orphans: BTreeSet::new(),
            configuration_times: BTreeMap::new(),
            stall_doubts: BTreeMap::new(),
            stalled_at: 0,
            fleet_health: (0.0, 0.0),
            unix_at_zero_ms: None,
            configuration_source: None,
            last_assignment: 0,
        }
    }
}
