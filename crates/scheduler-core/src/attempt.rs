use crate::prelude::*;

/// Why an attempt is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum StopReason {
    /// Its job was cancelled, or failed.
    #[n(0)]
    JobEnding,
    /// Its start was not proven in time.
    #[n(1)]
    Unproven,
    /// Its worker drains, and the start is not proven.
    #[n(2)]
    Draining,
    /// Its zone is evacuated.
    #[n(3)]
    Evacuated,
    /// Its gang could not run whole.
    #[n(4)]
    GangBroken,
    /// Its worker lists it neither as running nor as ended.
    #[n(5)]
    Missing,
    /// It runs far longer than its like on other workers.
    #[n(6)]
    Stalled,
    /// More urgent work takes its room.
    #[n(7)]
    Preempted,
}

/// The one attempt of a task that is out.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct Attempt {
    /// Its number, from 1.
    #[n(0)]
    pub number: u16,
    /// Its key in the placement state: unique in the cluster.
    #[n(1)]
    pub key: u64,
    /// Where it is.
    #[n(2)]
    pub worker: WorkerIndex,
    /// The gateway that may send its start.
    #[n(3)]
    pub gateway: Name,
    /// That gateway's instance.
    #[n(4)]
    pub instance: u64,
    /// When it was intended, in cluster time.
    #[n(6)]
    pub intended_at: Millis,
    /// When its start was proven, in cluster time, and by which boot.
    #[n(7)]
    pub started: Option<(Millis, String)>,
    /// Set once it is to be stopped.
    #[n(8)]
    pub stop: Option<StopReason>,
    /// Its room.
    #[n(9)]
    pub room: Room,
    /// When it is looked at for a stall, in cluster time; 0 for work without an end of its own. Kept, so that it is the
    /// same on every scheduler.
    #[n(10)]
    pub check_at: Millis,
    /// It was found to last longer than its like ever did.
    #[n(11)]
    pub overdue: bool,
    /// Whether it goes on from a checkpoint, or runs away from its data: its duration then tells little of its worker.
    #[n(12)]
    pub partial: bool,
    /// The assignment of the worker at the intent.
    #[n(13)]
    #[cbor(default)]
    pub fence: u64,
}
