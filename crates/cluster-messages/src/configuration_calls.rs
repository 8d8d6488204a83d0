use crate::prelude::*;

/// Reads the configuration in force. `GET /v1/config`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GetConfiguration {}

/// The whole tree and its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Configuration {
    /// 0 before the first change.
    #[n(0)]
    pub version: u64,
    /// SHA-256 of the canonical tree, hexadecimal.
    #[n(1)]
    pub digest: String,
    /// The tree.
    #[n(2)]
    pub tree: Payload,
    /// The text that the operator made the tree from, as it came with the change.
    #[n(3)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

/// Puts a whole tree in force. `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct PutConfiguration {
    /// The version it was built on.
    #[n(0)]
    pub base_version: u64,
    /// The operator's id of the change: a resend of it is acknowledged again.
    #[n(1)]
    pub change_id: String,
    /// The whole tree.
    #[n(2)]
    pub tree: Payload,
    /// A text of the operator's that is kept beside this version and given back with it, unread.
    #[n(3)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

/// The answer: it is on the synced disks of a quorum, and in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigurationAccepted {
    /// The version it became.
    #[n(0)]
    pub version: u64,
    /// SHA-256 of the canonical tree, hexadecimal.
    #[n(1)]
    pub digest: String,
    /// True when this change id was acknowledged before.
    #[n(2)]
    pub already: bool,
}

/// Lists the newest changes. `GET /v1/config/history?limit=`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GetConfigurationHistory {
    /// At most this many; 20 when absent.
    #[n(0)]
    pub limit: Option<u32>,
}

/// One past change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigurationChange {
    /// The version it became.
    #[n(0)]
    pub version: u64,
    /// The operator's id of it.
    #[n(1)]
    pub change_id: String,
    /// When, in cluster time.
    #[n(2)]
    pub at_ms: Millis,
    /// JSON Patch (RFC 6902) from the version before.
    #[n(3)]
    pub patch: Payload,
}

/// The newest changes first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigurationHistoryList {
    /// The changes.
    #[n(0)]
    pub changes: Vec<ConfigurationChange>,
}

/// Reads what is in force for one queue in one zone, each value with its origin.
/// `GET /v1/config/effective?zone=&queue=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GetEffectiveSettings {
    /// The zone.
    #[n(0)]
    pub zone: Name,
    /// The queue.
    #[n(1)]
    pub queue: Name,
}

/// One value in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct EffectiveValue {
    /// The setting.
    #[n(0)]
    pub setting: String,
    /// Its value.
    #[n(1)]
    pub value: Payload,
    /// `default`, `fleet`, `region`, `zone` or `queue`.
    #[n(2)]
    pub origin: String,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct EffectiveSettings {
    /// The zone.
    #[n(0)]
    pub zone: Name,
    /// The queue.
    #[n(1)]
    pub queue: Name,
    /// The version of the tree.
    #[n(2)]
    pub version: u64,
    /// All settings.
    #[n(3)]
    pub values: Vec<EffectiveValue>,
}

/// Lists queues with their use and limits. `GET /v1/queues`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ListQueues {}

/// One queue in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct QueueUse {
    /// The queue.
    #[n(0)]
    pub queue: Name,
    /// The zone.
    #[n(1)]
    pub zone: Name,
    /// Urgency in force.
    #[n(2)]
    pub urgency: u8,
    /// Share in force.
    #[n(3)]
    pub share: f64,
    /// Most tasks at once; 0: no cap.
    #[n(4)]
    pub cap_tasks: u64,
    /// Most CPU at once, in thousandths of a core.
    #[n(5)]
    pub cap_cpu_millis: u64,
    /// Tasks out now in this zone.
    #[n(6)]
    pub tasks: u64,
    /// CPU given out now in this zone.
    #[n(7)]
    pub used_cpu_millis: u64,
    /// Memory given out now in this zone.
    #[n(8)]
    pub used_memory_mb: u64,
    /// Jobs of this queue that wait, in the whole fleet.
    #[n(9)]
    pub waiting_jobs: u64,
}

/// All queues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct QueueList {
    /// By zone, then queue.
    #[n(0)]
    pub queues: Vec<QueueUse>,
}
