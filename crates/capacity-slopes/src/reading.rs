use crate::prelude::*;

/// What was read of a fleet of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Reading {
    /// The fleet.
    pub size: FleetSize,
    /// Length of the window, in simulated milliseconds.
    pub window_ms: Millis,
    /// Each role's figures; of the followers and of the gateways the mean.
    pub figures: BTreeMap<Role, BTreeMap<Quantity, f64>>,
    /// Each role's usage in the window, all its processes added up.
    pub usage: BTreeMap<Role, RoleUsage>,
    /// Tasks that finished in the window.
    pub finished: u64,
    /// Tasks that started in the window.
    pub started: u64,
    /// Tasks out at workers at the end.
    pub running: u64,
    /// Jobs kept at the end.
    pub jobs: u64,
    /// Configuration version at the end.
    pub configuration: u64,
    /// Bytes of a snapshot at the end.
    pub snapshot_bytes: u64,
    /// Log entries applied in the window.
    pub entries: u64,
    /// Commands applied in the window.
    pub commands: u64,
    /// Updates sent in the window.
    pub updates: u64,
}

impl Reading {
    /// One figure.
    pub fn figure(&self, r: Role, q: Quantity) -> Option<f64> {
        self.figures.get(&r)?.get(&q).copied()
    }
}
