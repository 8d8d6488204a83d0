use crate::prelude::*;

/// What one daemon cost over the load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonFigures {
    /// Its zone.
    pub zone: Name,
    /// Processor time by time, 1 being a whole core.
    pub cpu_share_of_core: f64,
    /// Memory at the end, in MB.
    pub rss_mb: f64,
    /// The most memory seen, in MB.
    pub rss_peak_mb: f64,
    /// Sent and received between schedulers.
    pub replication_bytes_per_s: f64,
    /// Sent and received between schedulers and between gateways and schedulers, the former included.
    pub control_bytes_per_s: f64,
    /// Sent and received between it and workers.
    pub worker_bytes_per_s: f64,
    /// Sent and received between it and callers or operators.
    pub caller_bytes_per_s: f64,
    /// How often it was started.
    pub starts: u64,
}

impl DaemonFigures {
    /// Adds bytes of a class, both directions together.
    pub fn add_bytes(&mut self, class: TrafficClass, bytes_per_s: f64) {
        match class {
            TrafficClass::Replication => {
                self.replication_bytes_per_s += bytes_per_s;
                self.control_bytes_per_s += bytes_per_s;
            }
            TrafficClass::Control => self.control_bytes_per_s += bytes_per_s,
            TrafficClass::Worker => self.worker_bytes_per_s += bytes_per_s,
            TrafficClass::Caller => self.caller_bytes_per_s += bytes_per_s,
        }
    }
}
