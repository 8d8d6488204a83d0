use crate::prelude::*;

/// Lists the schedulers of the replicated log. `GET /v1/members`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ListMembers {}

/// One scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberSummary {
    /// Its id: new with each empty data folder.
    #[n(0)]
    pub id: u64,
    /// Its address towards other processes.
    #[n(1)]
    pub address: String,
    /// `voter`, `learner` or `retired`.
    #[n(2)]
    pub role: String,
    /// Whether it leads.
    #[n(3)]
    pub leader: bool,
    /// The last log index known to be on its disk.
    #[n(4)]
    pub matched: u64,
    /// Milliseconds since it last answered the leader; absent when never.
    #[n(5)]
    pub silent_ms: Option<u64>,
    /// Its zone, where it told one.
    #[n(6)]
    pub zone: String,
}

/// The schedulers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberList {
    /// Term of the leader that answered.
    #[n(0)]
    pub term: u64,
    /// By id.
    #[n(1)]
    pub members: Vec<MemberSummary>,
}

/// Removes a scheduler from the log, for good. `POST /v1/members/{id}/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct RemoveMember {
    /// Its id.
    #[n(0)]
    #[serde(default)]
    pub id: u64,
}

/// Hands leadership to another voter, for restarts in turns. `POST /v1/members/{id}/lead`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct TransferLeadership {
    /// Its id.
    #[n(0)]
    #[serde(default)]
    pub id: u64,
}

/// The answer: the change is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct MemberChanged {
    /// Its id.
    #[n(0)]
    pub id: u64,
}

/// Asks for the elected scheduler's own view. `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GetClusterStatus {}

/// One gateway, as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GatewaySummary {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Its zone.
    #[n(1)]
    pub zone: Name,
    /// Where callers reach it.
    #[n(2)]
    pub http_address: String,
    /// Workers it holds.
    #[n(3)]
    pub workers: u32,
    /// Whether it counts as alive.
    #[n(4)]
    pub alive: bool,
}

/// The elected scheduler's own view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ClusterStatus {
    /// The cluster's name.
    #[n(0)]
    pub cluster: Name,
    /// The leader's id.
    #[n(1)]
    pub leader: u64,
    /// Its address.
    #[n(2)]
    pub leader_address: String,
    /// Its term.
    #[n(3)]
    pub term: u64,
    /// Commands committed.
    #[n(4)]
    pub commit_index: u64,
    /// Cluster time now.
    #[n(5)]
    pub log_time_ms: Millis,
    /// Configuration in force.
    #[n(6)]
    pub configuration_version: u64,
    /// Jobs kept, final ones included.
    #[n(7)]
    pub jobs: u64,
    /// Tasks that wait for room.
    #[n(8)]
    pub waiting_tasks: u64,
    /// Attempts out.
    #[n(9)]
    pub attempts: u64,
    /// Zones evacuated now.
    #[n(10)]
    pub evacuated_zones: Vec<Name>,
    /// The gateways.
    #[n(11)]
    pub gateways: Vec<GatewaySummary>,
    /// Workers known.
    #[n(12)]
    pub workers: u64,
    /// SHA-256 of the folded state's main tables, hexadecimal.
    #[n(13)]
    pub state_digest: String,
}
