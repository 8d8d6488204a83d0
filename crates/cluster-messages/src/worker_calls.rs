use crate::prelude::*;

/// A worker makes itself known, at its start and whenever it isn't sure. `POST /v1/workers`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct RegisterWorker {
    /// Its name, unique in the fleet and kept over restarts.
    #[n(0)]
    pub name: Name,
    /// Where it takes orders: IP number and port.
    #[n(1)]
    pub address: String,
    /// New for every start of its process.
    #[n(2)]
    pub boot_id: String,
    /// The service whose tasks it runs.
    #[n(3)]
    pub service: Name,
    /// Its kind of machine, such as `old` or `new`.
    #[n(4)]
    pub kind: Name,
    /// Its rack.
    #[n(5)]
    pub rack: Name,
    /// Its zone.
    #[n(6)]
    pub zone: Name,
    /// Its room: CPU in thousandths of a core.
    #[n(7)]
    pub cpu_millis: u64,
    /// Its room: memory in MB.
    #[n(8)]
    pub memory_mb: u64,
    /// Its room: GPUs.
    #[n(9)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub gpus: u64,
    /// Labels that steps may ask for.
    #[n(10)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub labels: Vec<Name>,
    /// True: it runs work only while its lease lasts, and each life of it has a name of its own.
    #[n(11)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub leased: bool,
}

/// The answer: it is known to a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct WorkerRegistered {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// True when it comes back with a new boot id.
    #[n(1)]
    pub reborn: bool,
}

/// Starts or ends a drain: no new task, running ones go on. `POST /v1/workers/{name}/drain`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct DrainWorker {
    /// The worker.
    #[n(0)]
    #[serde(default)]
    pub name: Name,
    /// True to drain, false to take work again.
    #[n(1)]
    pub on: bool,
    /// The sender's id of the order: a resend of it, however late, is acknowledged again and changes nothing.
    #[n(2)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order_id: Option<String>,
    /// With a drain: how much longer the worker serves at least, where it says so.
    #[n(3)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in_ms: Option<Millis>,
    /// With a drain: the worker is about to end, and is forgotten once nothing of it runs.
    #[n(4)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaves: bool,
}

/// The answer: no start is intended for it from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct WorkerDrained {
    /// The worker.
    #[n(0)]
    pub name: Name,
    /// Whether it is draining.
    #[n(1)]
    pub draining: bool,
    /// Attempts still on it.
    #[n(2)]
    pub attempts: u32,
}

/// Forgets a worker. `POST /v1/workers/{name}/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RemoveWorker {
    /// The worker.
    #[n(0)]
    #[serde(default)]
    pub name: Name,
    /// False: only when nothing is on it. True: the operator vouches that the machine is gone for good; its tasks
    /// are tried elsewhere, and would run twice if it were not.
    #[n(1)]
    #[serde(default)]
    pub declare_lost: bool,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct WorkerRemoved {
    /// The worker.
    #[n(0)]
    pub name: Name,
    /// Attempts declared lost with it.
    #[n(1)]
    pub lost_attempts: u32,
}

/// Lists workers. `GET /v1/workers`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ListWorkers {
    /// Only this zone.
    #[n(0)]
    pub zone: Option<Name>,
}

/// All workers, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct WorkerList {
    /// The workers.
    #[n(0)]
    pub workers: Vec<WorkerSummary>,
}

/// A worker's lifetime band, in words.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct BandSummary {
    /// 1 to 4; 0 when empty.
    #[n(0)]
    pub class: u8,
    /// `empty`, `open` or `recycling`.
    #[n(1)]
    pub state: String,
}

/// A worker, as lists and gateways hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct WorkerSummary {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Where it takes orders.
    #[n(1)]
    pub address: String,
    /// Its boot id.
    #[n(2)]
    pub boot_id: String,
    /// Its service.
    #[n(3)]
    pub service: Name,
    /// Its kind.
    #[n(4)]
    pub kind: Name,
    /// Its rack.
    #[n(5)]
    pub rack: Name,
    /// Its zone.
    #[n(6)]
    pub zone: Name,
    /// Its room: CPU in thousandths of a core.
    #[n(7)]
    pub cpu_millis: u64,
    /// Its room: memory in MB.
    #[n(8)]
    pub memory_mb: u64,
    /// Draining.
    #[n(9)]
    pub draining: bool,
    /// The gateway that holds it, if one does.
    #[n(10)]
    pub gateway: Option<Name>,
    /// Room given out, CPU. Read views may lag by one update.
    #[n(11)]
    pub used_cpu_millis: u64,
    /// Room given out, memory.
    #[n(12)]
    pub used_memory_mb: u64,
    /// Attempts on it.
    #[n(13)]
    pub attempts: u32,
    /// Whether its gateway last got an answer from it.
    #[n(14)]
    pub reachable: bool,
    /// 0 (trusted) upwards: how far it is shunned for what it did with its tasks.
    #[n(15)]
    pub shun_level: u8,
    /// Its lifetime band.
    #[n(16)]
    pub band: BandSummary,
    /// Whether it runs work only while its lease lasts.
    #[n(17)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub leased: bool,
    /// Number of its assignment to the gateway that holds it.
    #[n(18)]
    #[serde(default, skip_serializing_if = "is_default")]
    pub assignment: u64,
}

/// Evacuates a zone, or ends that. `POST /v1/zones/{zone}/evacuate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct EvacuateZone {
    /// The zone.
    #[n(0)]
    #[serde(default)]
    pub zone: Name,
    /// True to evacuate, false to use it again.
    #[n(1)]
    pub on: bool,
    /// The operator's id of the order: a resend of it is acknowledged again and changes nothing.
    #[n(2)]
    pub order_id: String,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ZoneEvacuated {
    /// The zone.
    #[n(0)]
    pub zone: Name,
    /// Whether it is evacuated after this order.
    #[n(1)]
    pub on: bool,
    /// True when this order id was acknowledged before.
    #[n(2)]
    pub already: bool,
    /// Attempts still in it.
    #[n(3)]
    pub attempts: u32,
}
