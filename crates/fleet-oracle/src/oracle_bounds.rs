use crate::prelude::*;

/// The bounds a run is judged by, all in true milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OracleBounds {
    /// From acceptance until each read shows the job.
    pub visible_ms: Millis,
    /// From the end of a job until reads may forget it.
    pub retention_ms: Millis,
    /// From a drain's acknowledgement until no task may start there.
    pub drain_ms: Millis,
    /// From an evacuation's acknowledgement until no task may start there.
    pub evacuation_ms: Millis,
    /// From a cancellation's acknowledgement until no task may start.
    pub cancel_ms: Millis,
    /// How long a gang member may run without all partners having started.
    pub gang_ms: Millis,
    /// From a configuration's acknowledgement until each read shows it.
    pub configuration_ms: Millis,
    /// Longest time without an accepted job while jobs are sent.
    pub outage_ms: Millis,
    /// Jobs count as being sent while no two sends lie further apart than this.
    pub sending_gap_ms: Millis,
    /// How much earlier than due a start may be told, for the rounding of the clocks between.
    pub timed_grain_ms: Millis,
    /// Unix milliseconds at true time 0; 0 when true time is Unix time.
    pub unix_at_zero_ms: u64,
    /// Urgency of jobs that name none, by queue; 0 for queues not listed. For figures only.
    pub queue_urgency: BTreeMap<Name, u8>,
    /// From this urgency on, a job counts as urgent in the figures.
    pub urgent_from: u8,
    /// At most this many examples are kept for each rule.
    pub examples_per_rule: usize,
}

impl Default for OracleBounds {
    fn default() -> Self {
        let outage_ms = 12_000;
        OracleBounds {
            visible_ms: 3_000,
            retention_ms: 600_000,
            drain_ms: 2_000,
            evacuation_ms: 5_000,
            cancel_ms: 3_000,
            gang_ms: 15_000,
            configuration_ms: 2_000,
            outage_ms,
            sending_gap_ms: outage_ms / 4,
            timed_grain_ms: 2,
            unix_at_zero_ms: 0,
            queue_urgency: BTreeMap::new(),
            urgent_from: 7,
            examples_per_rule: 5,
        }
    }
}
