use crate::prelude::*;

/// A fleet and the load a trace puts on it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetShape {
    /// Name in reports.
    pub name: &'static str,
    /// Number of workers.
    pub workers: u32,
    /// Room of each worker.
    pub room: Room,
    /// Mean demand on the tighter dimension, as a share of the fleet's room.
    pub load: f64,
    /// Swing of the demand over a period, as a share of the mean.
    pub swing: f64,
    /// Length of one period of the swing, in first class bounds.
    pub period: f64,
    /// Length of the trace, in first class bounds.
    pub length: f64,
}

impl FleetShape {
    /// A fleet of 16-core workers with so many gigabytes each.
    pub const fn new(name: &'static str, workers: u32, memory_gb: u64) -> Self {
        Self { name, workers, room: Room::new(16_000, memory_gb * 1_024), load: 0.6, swing: 0.25, period: 1_440.0, length: 4_320.0 }
    }
}
