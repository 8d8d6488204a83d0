use crate::prelude::*;

/// `POST http://{worker}/start`: start one attempt. Sent once at the most, ever.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct StartOrder {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// Number of the assignment under which its gateway holds the worker: a worker that checks it refuses orders with a lower
    /// one than it has seen.
    #[n(1)]
    pub fence: u64,
    /// The worker it is for.
    #[n(2)]
    pub worker: Name,
    /// The job's name.
    #[n(3)]
    pub job_name: Name,
    /// The service.
    #[n(4)]
    pub service: Name,
    /// CPU it may use, in thousandths of a core.
    #[n(5)]
    pub cpu_millis: u64,
    /// Memory it may use, in MB.
    #[n(6)]
    pub memory_mb: u64,
    /// True for work that has no end of its own.
    #[n(7)]
    pub run_until_cancelled: bool,
    /// What to run.
    #[n(8)]
    pub payload: Payload,
    /// When it was intended, in cluster time.
    #[n(9)]
    pub intended_at_ms: Millis,
    /// How long after that it may still leave the gateway.
    #[n(10)]
    pub time_budget_ms: Millis,
    /// For a gang: when all its members must run, in cluster time. Its gateway stops it past that by itself, unless it
    /// heard that the gang runs whole.
    #[n(11)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang_by_ms: Option<Millis>,
    /// Where the attempt goes on from; absent: from the start.
    #[n(12)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// For a worker that takes leases: until when it may be started and may run, on the worker's own clock. Set by the
    /// gateway as the order leaves.
    #[n(13)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_until_ms: Option<Millis>,
    /// The caller's guess of how long it runs; 0: none.
    #[n(14)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
}

/// What a worker says to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
#[cbor(index_only)]
pub enum StartResult {
    /// It runs.
    #[n(0)]
    Started,
    /// A stop for it came first: it never ran and never will.
    #[n(1)]
    Void,
}

/// The answer to a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StartAnswer {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// What came of it.
    #[n(1)]
    pub result: StartResult,
    /// The boot that took the order.
    #[n(2)]
    pub boot_id: String,
    /// The worker's clock, where it tells it.
    #[n(3)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<Millis>,
}

/// `POST http://{worker}/stop`: end an attempt, or never start it. May be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StopOrder {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// The worker it is for.
    #[n(1)]
    pub worker: Name,
    /// As for a start; set as the order leaves.
    #[n(2)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub fence: u64,
}

impl StopOrder {
    /// A stop that has not left yet.
    pub fn unsent(attempt: AttemptId, worker: Name) -> Self {
        StopOrder { attempt, worker, fence: 0 }
    }
}

/// What a worker says to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
#[cbor(index_only)]
pub enum StopResult {
    /// It ran and doesn't any more.
    #[n(0)]
    Stopped,
    /// This boot never started it, and never will.
    #[n(1)]
    Void,
    /// It had ended by itself; the hold answer lists how.
    #[n(2)]
    Ended,
    /// It won't start from now on, and ends soon if it runs: the next hold answer tells.
    #[n(3)]
    Accepted,
}

/// The answer to a stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StopAnswer {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// What came of it.
    #[n(1)]
    pub result: StopResult,
    /// The boot that took the order.
    #[n(2)]
    pub boot_id: String,
    /// With `ended`: how it ended.
    #[n(3)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<EndedAttempt>,
    /// The worker's clock, where it tells it.
    #[n(4)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<Millis>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
#[cbor(index_only)]
pub enum Outcome {
    /// Well.
    #[n(0)]
    Succeeded,
    /// It failed.
    #[n(1)]
    Failed,
    /// A stop ended it.
    #[n(2)]
    Stopped,
    /// The worker's lease ended it.
    #[n(3)]
    Lapsed,
    /// Another member of its gang ended.
    #[n(4)]
    Broken,
    /// The other members of its gang did not come in time.
    #[n(5)]
    Alone,
}

/// An attempt that ran and ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct EndedAttempt {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// How it ended.
    #[n(1)]
    pub outcome: Outcome,
    /// How long it ran, by the worker's own clock; 0 where it doesn't tell.
    #[n(2)]
    pub ran_ms: Millis,
    /// The worker's count of ends, from 1; 0 where it keeps none.
    #[n(3)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// Its last checkpoint, if it made one.
    #[n(4)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

impl EndedAttempt {
    /// An end of which no more is known.
    pub fn new(attempt: AttemptId, outcome: Outcome) -> Self {
        EndedAttempt { attempt, outcome, ran_ms: 0, sequence: 0, checkpoint: None }
    }
}

/// How far a running attempt is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct AttemptProgress {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// Hundredths of its work that are done.
    #[n(1)]
    pub percent: u8,
    /// Its last checkpoint, if it made one.
    #[n(2)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// `POST http://{worker}/hold`: the worker answers when its lists have changed since `seen`, or after `wait_ms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct HoldOrder {
    /// The worker it is for.
    #[n(0)]
    pub worker: Name,
    /// The gateway that holds it.
    #[n(1)]
    pub gateway: Name,
    /// The `change` of the last answer seen; 0 for a whole answer at once.
    #[n(2)]
    pub seen: u64,
    /// How long the worker may keep this call when nothing changes.
    #[n(3)]
    pub wait_ms: Millis,
    /// Ended attempts that are in the log: the worker may forget them.
    #[n(4)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acknowledged: Vec<AttemptId>,
    /// For a worker that counts its ends: all up to this one are in the log.
    #[n(5)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub observed: u64,
    /// For a worker that takes leases: until when all on it may run, on the worker's own clock.
    #[n(6)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_until_ms: Option<Millis>,
    /// As for a start.
    #[n(7)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub fence: u64,
}

/// The answer to a hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct HoldAnswer {
    /// The worker.
    #[n(0)]
    pub worker: Name,
    /// Its boot id.
    #[n(1)]
    pub boot_id: String,
    /// Counts the changes of what follows, from 1; starts anew with each boot.
    #[n(2)]
    pub change: u64,
    /// It wants to drain.
    #[n(3)]
    #[serde(default)]
    pub draining: bool,
    /// True when nothing changed since `seen`; the lists are then left out.
    #[n(4)]
    #[serde(default)]
    pub unchanged: bool,
    /// All that runs.
    #[n(5)]
    #[serde(default)]
    pub running: Vec<AttemptId>,
    /// What ended and is not acknowledged.
    #[n(6)]
    #[serde(default)]
    pub ended: EndList,
    /// How far the running ones are, where the worker tells.
    #[n(7)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<AttemptProgress>,
    /// The worker's clock, where it tells it.
    #[n(8)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<Millis>,
}
