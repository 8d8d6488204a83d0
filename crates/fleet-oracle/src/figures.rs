use crate::prelude::*;

/// A spread of times, in true milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyFigure {
    /// How many were measured.
    pub count: u64,
    /// Half took at most this.
    pub p50: Millis,
    /// 99 of 100 took at most this.
    pub p99: Millis,
    /// The longest.
    pub max: Millis,
}

impl LatencyFigure {
    /// Reads a histogram.
    pub(crate) fn of(h: &Histogram<u64>) -> Self {
        if h.is_empty() {
            return LatencyFigure::default();
        }
        LatencyFigure { count: h.len(), p50: h.value_at_quantile(0.5), p99: h.value_at_quantile(0.99), max: h.max() }
    }
}

/// What was measured besides the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Jobs whose acceptance a caller was told.
    pub jobs_accepted: u64,
    /// Of these, all tasks succeeded.
    pub jobs_finished: u64,
    /// Of these, cancelled by their callers, not finished.
    pub jobs_cancelled: u64,
    /// Of these, a task failed more often than allowed.
    pub jobs_failed: u64,
    /// Of these, not final by their tasks at the end, and not meant to run until cancelled.
    pub jobs_unfinished: u64,
    /// Runs started.
    pub tasks_run: u64,
    /// Runs that did not end well: stopped, failed or lost.
    pub unneeded: u64,
    /// Of these, lost with their worker.
    pub runs_lost: u64,
    /// Runs of jobs that no caller sent.
    pub runs_of_unknown_jobs: u64,
    /// Starts past a drain's, evacuation's or cancellation's bound that no stop could have reached in time.
    pub starts_out_of_reach: u64,
    /// From acceptance, or the time due if later, to the first start of each job.
    pub start_ms: LatencyFigure,
    /// The same, of urgent jobs.
    pub urgent_start_ms: LatencyFigure,
    /// The same by the zone of the first start.
    pub zone_start_ms: BTreeMap<Name, LatencyFigure>,
    /// The largest 99th percentile of any zone.
    pub worst_zone_start_p99_ms: Millis,
    /// From acceptance to the first read that showed the job; where each read sent since showed it, from that read's sending.
    pub visible_ms: LatencyFigure,
    /// From a version's acknowledgement until each gateway's first read of it or a newer one.
    pub config_in_force_ms: LatencyFigure,
    /// From a drain's first send to its acknowledgement.
    pub drain_ms: LatencyFigure,
    /// From a drain's acknowledgement until nothing ran on the worker.
    pub drain_empty_ms: LatencyFigure,
    /// From a cancellation's first send until nothing of the job ran.
    pub cancel_ms: LatencyFigure,
    /// Longest time without an accepted job while jobs were sent.
    pub outage_ms: Millis,
}
