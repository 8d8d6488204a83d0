use crate::prelude::*;

/// A worker, as the log knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct WorkerRecord {
    /// What it said of itself last.
    #[n(0)]
    pub told: RegisterWorker,
    /// Boots before this one, the newest last; bounded.
    #[n(1)]
    pub old_boots: Vec<String>,
    /// A drain was ordered and not ended.
    #[n(2)]
    pub drain_ordered: bool,
    /// It asked to drain in a hold answer of this boot.
    #[n(3)]
    pub drain_asked: bool,
    /// Its gateway gets answers from it.
    #[n(4)]
    pub reachable: bool,
    /// The gateway that holds it.
    #[n(5)]
    pub gateway: Option<Name>,
    /// Room given out.
    #[n(6)]
    pub used: Room,
    /// What is inferred of it.
    #[n(7)]
    pub health: WorkerHealth,
    /// It is about to end.
    #[n(8)]
    pub leaving: bool,
    /// How long tasks run on it, against their like on other workers.
    #[n(9)]
    pub pace: WorkerPace,
    /// Number of its assignment to a process of its gateway: it rises in the log with each assignment of any worker.
    #[n(10)]
    #[cbor(default)]
    pub assignment: u64,
}

/// Old boots remembered.
const BOOTS_KEPT: usize = 8;

impl WorkerRecord {
    /// A worker just told of.
    pub fn new(told: RegisterWorker) -> Self {
        WorkerRecord {
            // A worker that takes leases gets work once its clock is known.
            reachable: !told.leased,
            told,
            old_boots: Vec::new(),
            drain_ordered: false,
            drain_asked: false,
            gateway: None,
            used: Room::new(0, 0),
            health: WorkerHealth::default(),
            leaving: false,
            pace: WorkerPace::default(),
            assignment: 0,
        }
    }

    /// Whether it is to get no new task.
    pub fn draining(&self) -> bool {
        self.drain_ordered || self.drain_asked
    }

    /// Whether whoever holds it under that assignment holds it now.
    pub fn is_assigned(&self, assignment: u64) -> bool {
        self.gateway.is_some() && self.assignment == assignment
    }

    /// Whether it is of the service, kinds and labels that a task asks for, and of a kind that the task's queue may use. That the queue takes
    /// jobs of the service was looked at as the job was accepted.
    pub fn takes(&self, queue: &EffectiveQueue, service: &str, kinds: &[Name], labels: &[Name]) -> bool {
        let (queue, told) = (&queue.settings, &self.told);
        told.service == service
            && (kinds.is_empty() || kinds.contains(&told.kind))
            && labels.iter().all(|label| told.labels.contains(label))
            && (queue.kinds.is_empty() || queue.kinds.contains(&told.kind))
    }

    /// Its whole room.
    pub fn room(&self) -> Room {
        Room::new(self.told.cpu_millis, self.told.memory_mb).with_gpus(self.told.gpus)
    }

    /// Moves on to another boot.
    pub fn boot(&mut self, boot_id: &str) {
        let old = std::mem::replace(&mut self.told.boot_id, boot_id.to_owned());
        self.old_boots.push(old);
        if self.old_boots.len() > BOOTS_KEPT {
            self.old_boots.remove(0);
        }
        self.drain_asked = false;
        self.reachable = true;
    }
}

/// A gateway, as the log knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct GatewayRecord {
    /// Its process instance.
    #[n(0)]
    pub instance: u64,
    /// Its zone.
    #[n(1)]
    pub zone: Name,
    /// Where callers reach it.
    #[n(2)]
    pub http_address: String,
    /// Whether it counts as alive.
    #[n(3)]
    pub alive: bool,
}
