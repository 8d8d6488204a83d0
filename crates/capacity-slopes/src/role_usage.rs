use crate::prelude::*;

/// What one process spent in a window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleUsage {
    /// Frames sent to processes of the control plane.
    pub sent: Traffic,
    /// Frames received from them.
    pub received: Traffic,
    /// HTTP requests sent to workers.
    pub orders: Traffic,
    /// Their answers.
    pub answers: Traffic,
    /// Processor time of the core and of its encoding and decoding, in nanoseconds.
    pub cpu_ns: u64,
    /// The longest single step, in nanoseconds.
    pub longest_ns: u64,
    /// Steps of the core.
    pub steps: u64,
    /// Bytes of encoded records for the disk.
    pub disk_bytes: u64,
    /// Of these, bytes of snapshots.
    pub snapshot_bytes: u64,
    /// Syncs.
    pub syncs: u64,
    /// Processes added up.
    pub processes: u64,
}

impl RoleUsage {
    /// Adds another process of the role.
    pub fn add(&mut self, other: &RoleUsage) {
        for (a, b) in [
            (&mut self.sent, &other.sent),
            (&mut self.received, &other.received),
            (&mut self.orders, &other.orders),
            (&mut self.answers, &other.answers),
        ] {
            a.add(b);
        }
        self.cpu_ns += other.cpu_ns;
        self.longest_ns = self.longest_ns.max(other.longest_ns);
        self.steps += other.steps;
        self.disk_bytes += other.disk_bytes;
        self.snapshot_bytes += other.snapshot_bytes;
        self.syncs += other.syncs;
        self.processes += 1;
    }
}
