use crate::prelude::*;

/// One wish put in the log. Applying it checks everything again: a command that no longer fits changes nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// A caller's job, with the delay until its time as the leader worked it out.
    #[n(0)]
    Submit {
        /// The job.
        #[n(0)]
        spec: JobSpec,
        /// Occurrence 0 falls due this long after the entry's time; below 0: it is past.
        #[n(1)]
        due_in_ms: i64,
    },
    /// A caller's cancellation.
    #[n(1)]
    Cancel(#[n(0)] CancelJob),
    /// A worker told of itself.
    #[n(2)]
    Register(#[n(0)] RegisterWorker),
    /// A drain, or its end.
    #[n(3)]
    Drain(#[n(0)] DrainWorker),
    /// A worker is to be forgotten.
    #[n(4)]
    Remove(#[n(0)] RemoveWorker),
    /// A zone evacuation, or its end.
    #[n(5)]
    Evacuate(#[n(0)] EvacuateZone),
    /// A whole tree of settings.
    #[n(6)]
    PutConfiguration {
        /// The version it was built on.
        #[n(0)]
        base_version: u64,
        /// Its id.
        #[n(1)]
        change_id: String,
        /// Its JSON.
        #[n(2)]
        #[cbor(with = "minicbor::bytes")]
        tree: Vec<u8>,
        /// The operator's text kept beside it.
        #[n(3)]
        source: Option<String>,
    },
    /// A tree of settings as a JSON Patch on the version it was built on.
    #[n(14)]
    PatchConfiguration {
        /// That version.
        #[n(0)]
        base_version: u64,
        /// Its id.
        #[n(1)]
        change_id: String,
        /// Digest of the tree after it.
        #[n(2)]
        digest: String,
        /// The patch.
        #[n(3)]
        patch: String,
        /// The operator's text kept beside it.
        #[n(4)]
        source: Option<String>,
    },
    /// A gateway attached.
    #[n(7)]
    GatewayAttached {
        /// Its name.
        #[n(0)]
        name: Name,
        /// Its instance.
        #[n(1)]
        instance: u64,
        /// Its zone.
        #[n(2)]
        zone: Name,
        /// Where callers reach it.
        #[n(3)]
        http_address: String,
    },
    /// A gateway fell silent.
    #[n(8)]
    GatewayLost {
        /// Its name.
        #[n(0)]
        name: Name,
        /// Its instance.
        #[n(1)]
        instance: u64,
    },
    /// What a gateway learned from a worker.
    #[n(9)]
    Facts(#[n(0)] WorkerFacts),
    /// Starts that placement worked out: (task, worker).
    #[n(10)]
    Start {
        /// Which task where.
        #[n(0)]
        starts: Vec<(TaskId, WorkerIndex)>,
        /// All or none.
        #[n(1)]
        gang: bool,
    },
    /// Bounds that the fold depends on, as the leader's settings have them.
    #[n(13)]
    Rules {
        /// How often a worker is heard of at least.
        #[n(0)]
        hold_interval_ms: Millis,
        /// How many schedulers are to vote.
        #[n(1)]
        voters: u64,
        /// How long members of a gang wait for each other.
        #[n(2)]
        gang_wait_ms: Millis,
        /// Upper bound of the first placement class.
        #[n(3)]
        first_class_ms: Millis,
        /// The version of the fold that is to be in force.
        #[n(4)]
        #[cbor(default)]
        fold_version: u32,
    },
    /// Attempts of less urgent work that are to make room.
    #[n(15)]
    Preempt(#[n(0)] Vec<TaskId>),
    /// Nothing but the passing of time.
    #[n(11)]
    Advance,
    /// What the wall clock showed at a cluster time.
    #[n(12)]
    WallClock {
        /// Unix milliseconds.
        #[n(0)]
        wall_ms: Millis,
        /// Cluster time.
        #[n(1)]
        log_time_ms: Millis,
    },
}

/// The commands of one log entry.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct CommandBatch {
    /// The scheduler that proposed it.
    #[n(0)]
    pub proposer: u64,
    /// Its count of proposals in this term.
    #[n(1)]
    pub number: u64,
    /// In order.
    #[n(2)]
    pub commands: Vec<Command>,
}

impl WireMessage for CommandBatch {}
