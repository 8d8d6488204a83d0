use crate::prelude::*;

/// The size of a fleet and of its load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetSize {
    /// Schedulers.
    pub members: usize,
    /// Gateways.
    pub gateways: usize,
    /// Workers.
    pub workers: usize,
    /// Zones.
    pub zones: usize,
    /// Queues of each zone.
    pub queues: usize,
    /// Tasks that run throughout.
    pub running: u64,
    /// Finished jobs kept from before the window.
    pub jobs_kept: u64,
    /// Jobs a second in the window.
    pub jobs_per_s: f64,
    /// Tasks of each of these.
    pub tasks_per_job: u32,
    /// How long each of these tasks runs.
    pub run_ms: Millis,
    /// Changes of the configuration a second in the window.
    pub changes_per_s: f64,
    /// The window.
    pub window_ms: Millis,
}

impl Default for FleetSize {
    fn default() -> Self {
        FleetSize {
            members: 3,
            gateways: 4,
            workers: 40,
            zones: 8,
            queues: 4,
            running: 0,
            jobs_kept: 0,
            jobs_per_s: 0.0,
            tasks_per_job: 1,
            run_ms: 2_000,
            changes_per_s: 0.0,
            window_ms: 20_000,
        }
    }
}

impl FleetSize {
    /// The size to grow to, at its busiest: 35 starts a second in jobs of five tasks.
    pub fn target() -> Self {
        FleetSize {
            members: 5,
            gateways: 13,
            workers: 550,
            queues: 310,
            running: 8_200,
            jobs_kept: 9_100,
            jobs_per_s: 7.0,
            tasks_per_job: 5,
            run_ms: 4_000,
            changes_per_s: 1_300.0 / 86_400.0,
            window_ms: 120_000,
            ..FleetSize::default()
        }
    }

    /// So many times as large; the teams, the zones and the schedulers stay as many.
    pub fn times(self, n: u64) -> Self {
        let k = n as usize;
        FleetSize {
            gateways: self.gateways * k,
            workers: self.workers * k,
            running: self.running * n,
            jobs_kept: self.jobs_kept * n,
            jobs_per_s: self.jobs_per_s * n as f64,
            window_ms: self.window_ms / n,
            ..self
        }
    }

    /// The operators' tree: every zone has every queue.
    pub fn tree(&self, change: u64) -> Value {
        let queue = |i: usize| {
            let urgency = if change > 0 && i == change as usize % self.queues.max(1) { change % 9 } else { 4 };
            json!({"settings": {"kinds": ["old", "new"], "services": ["teams"], "urgency": urgency, "share": 1.0 + (i % 5) as f64, "cap_cpu_share": 0.9}})
        };
        let queues: Map<String, Value> = (0..self.queues).map(|i| (format!("team-{i:03}"), queue(i))).collect();
        let mut regions = Map::new();
        for z in 0..self.zones {
            let (region, zone) = (if z < self.zones.div_ceil(2) { "north" } else { "south" }, zone_name(z));
            let r = regions.entry(region).or_insert_with(|| json!({"settings": {}, "zones": {}}));
            r["zones"][zone] = json!({"settings": {}, "queues": queues});
        }
        json!({"settings": {"kinds": ["old", "new"], "max_waiting_jobs": 100_000}, "regions": regions})
    }
}

/// A zone's name.
pub(crate) fn zone_name(i: usize) -> Name {
    format!("z{}", i + 1)
}
