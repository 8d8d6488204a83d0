use crate::prelude::*;

/// What changed for one gateway since the view number it named: folded into its read view.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct ViewUpdate {
    /// True: forget the view held so far, this is a whole one.
    #[n(0)]
    pub reset: bool,
    /// The view number after this update.
    #[n(1)]
    pub upto: u64,
    /// Cluster time when it was made.
    #[n(2)]
    pub log_time_ms: Millis,
    /// Jobs that are new, or all of them in a whole view.
    #[n(3)]
    pub jobs: Vec<JobSummary>,
    /// Jobs past their retention.
    #[n(4)]
    pub jobs_forgotten: Vec<JobNumber>,
    /// Workers that are new or changed in more than their use.
    #[n(5)]
    pub workers: Vec<WorkerSummary>,
    /// Workers removed.
    #[n(6)]
    pub workers_removed: Vec<Name>,
    /// Starts that this instance of this gateway is to send, once.
    #[n(7)]
    pub starts: Vec<StartOrder>,
    /// Attempts to stop on workers this gateway holds.
    #[n(8)]
    pub stops: Vec<StopOrder>,
    /// Attempts out on workers this gateway holds, which the log knows as running: (worker, attempt). Only for
    /// workers in `workers`, so that a new holder knows what to look for.
    #[n(9)]
    pub held: Vec<(Name, AttemptId)>,
    /// Configuration, when it changed.
    #[n(10)]
    pub configuration: Option<ConfigurationUpdate>,
    /// Zones evacuated now, when that changed.
    #[n(11)]
    pub evacuated_zones: Option<Vec<Name>>,
    /// Schedulers' addresses, when they changed.
    #[n(12)]
    pub schedulers: Option<Vec<String>>,
    /// Jobs told before that have changed.
    #[n(13)]
    pub job_changes: Vec<JobChange>,
    /// Gangs of which this gateway holds members, and which run whole or are no longer waited for.
    #[n(14)]
    pub gangs_settled: Vec<StepId>,
}

/// What can change of a job, for whoever has its summary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(array)]
pub struct JobChange {
    /// Its number.
    #[n(0)]
    pub job: JobNumber,
    /// Its state.
    #[n(1)]
    pub state: JobState,
    /// Its tasks by state.
    #[n(2)]
    pub tasks: TaskCounts,
    /// Failed attempts so far.
    #[n(3)]
    pub failures: u32,
    /// When it reached its final state, in cluster time.
    #[n(4)]
    pub ended_at_ms: Option<Millis>,
}

impl JobChange {
    /// What changed of a job, as it is now.
    pub fn of(s: &JobSummary) -> Self {
        JobChange { job: s.job, state: s.state, tasks: s.tasks, failures: s.failures, ended_at_ms: s.ended_at_ms }
    }

    /// The summary after the change.
    pub fn apply(&self, s: &JobSummary) -> JobSummary {
        JobSummary { state: self.state, tasks: self.tasks, failures: self.failures, ended_at_ms: self.ended_at_ms, ..s.clone() }
    }
}

/// A configuration's way to a gateway: a patch on the version before, or the whole tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct ConfigurationUpdate {
    /// The version after it.
    #[n(0)]
    pub version: u64,
    /// Digest of the canonical tree after it.
    #[n(1)]
    pub digest: String,
    /// JSON Patches from `base` on, in order, each taking one version further; empty when `tree` is given.
    #[n(2)]
    pub patches: Vec<Payload>,
    /// The version that the first patch applies to.
    #[n(3)]
    pub base: u64,
    /// The whole tree.
    #[n(4)]
    pub tree: Option<Payload>,
}
