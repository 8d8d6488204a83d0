use crate::prelude::*;

/// A job's state, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
#[cbor(index_only)]
pub enum JobState {
    /// Accepted; no task has started.
    #[n(0)]
    Waiting,
    /// At least one task has started.
    #[n(1)]
    Running,
    /// Cancelled; tasks are still being stopped.
    #[n(2)]
    Cancelling,
    /// Every task succeeded.
    #[n(3)]
    Succeeded,
    /// A task failed more often than allowed.
    #[n(4)]
    Failed,
    /// Cancelled, and nothing of it runs.
    #[n(5)]
    Cancelled,
}

impl JobState {
    /// Whether nothing more will happen to it.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Succeeded | JobState::Failed | JobState::Cancelled)
    }

    /// Its word in the API.
    pub fn word(self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Running => "running",
            JobState::Cancelling => "cancelling",
            JobState::Succeeded => "succeeded",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }
}

/// How many tasks of a job are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct TaskCounts {
    /// Wait for other steps, their time, or room.
    #[n(0)]
    pub waiting: u32,
    /// Given to a worker, start not yet proven.
    #[n(1)]
    pub starting: u32,
    /// Proven to run.
    #[n(2)]
    pub running: u32,
    /// Ended well.
    #[n(3)]
    pub succeeded: u32,
    /// Failed for good.
    #[n(4)]
    pub failed: u32,
    /// Cancelled.
    #[n(5)]
    pub cancelled: u32,
}

/// What lists and read views hold of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct JobSummary {
    /// Its number.
    #[n(0)]
    pub job: JobNumber,
    /// Its caller's name for it.
    #[n(1)]
    pub name: Name,
    /// Its queue.
    #[n(2)]
    pub queue: Name,
    /// Its state.
    #[n(3)]
    pub state: JobState,
    /// Urgency in force.
    #[n(4)]
    pub urgency: u8,
    /// Its tasks by state.
    #[n(5)]
    pub tasks: TaskCounts,
    /// Failed attempts so far.
    #[n(6)]
    pub failures: u32,
    /// When it was accepted, in cluster time.
    #[n(7)]
    pub accepted_at_ms: Millis,
    /// When it reached its final state, in cluster time.
    #[n(8)]
    pub ended_at_ms: Option<Millis>,
}

/// One step of a job, as `status` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StepStatus {
    /// Its name.
    #[n(0)]
    pub name: Name,
    /// Steps it still waits for.
    #[n(1)]
    pub waits_for: Vec<Name>,
    /// Its tasks by state.
    #[n(2)]
    pub tasks: TaskCounts,
}

/// A job with its steps and the attempts that are out now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct JobStatus {
    /// The short form.
    #[n(0)]
    #[serde(flatten)]
    pub summary: JobSummary,
    /// Its steps; empty when the answer came from a gateway's read view.
    #[n(1)]
    pub steps: Vec<StepStatus>,
    /// Attempts out now, with their worker; at most the first 100.
    #[n(2)]
    pub attempts: Vec<(AttemptId, Name)>,
}

/// Submits a job. `POST /v1/jobs`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(transparent)]
pub struct SubmitJob {
    /// The job.
    #[n(0)]
    pub spec: JobSpec,
}

/// The answer: it is on the synced disks of a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct JobAccepted {
    /// Its caller's name for it.
    #[n(0)]
    pub name: Name,
    /// Its number.
    #[n(1)]
    pub job: JobNumber,
    /// Its state now.
    #[n(2)]
    pub state: JobState,
    /// True when an earlier send was the one accepted.
    #[n(3)]
    pub already: bool,
}

/// Cancels a job. `POST /v1/jobs/{name}/cancel`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct CancelJob {
    /// The job's name.
    #[n(0)]
    pub name: Name,
}

/// The answer: no task of it will be given out from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct JobCancelled {
    /// The job's name.
    #[n(0)]
    pub name: Name,
    /// `cancelling`, `cancelled`, or the final state it had reached before.
    #[n(1)]
    pub state: JobState,
}

/// Reads one job. `GET /v1/jobs/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct GetJob {
    /// The job's name.
    #[n(0)]
    pub name: Name,
}

/// Lists jobs by number. `GET /v1/jobs?queue=&state=&after=&limit=`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ListJobs {
    /// Only this queue.
    #[n(0)]
    pub queue: Option<Name>,
    /// Only this state.
    #[n(1)]
    pub state: Option<JobState>,
    /// Only numbers above this.
    #[n(2)]
    pub after: Option<JobNumber>,
    /// At most this many (100 when absent, at most 1,000).
    #[n(3)]
    pub limit: Option<u32>,
}

/// A page of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct JobList {
    /// In order of number.
    #[n(0)]
    pub jobs: Vec<JobSummary>,
    /// Pass as `after` for the next page; absent at the end.
    #[n(1)]
    pub next: Option<JobNumber>,
}

/// Asks what a job waits for. `GET /v1/jobs/{name}/why`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ExplainJob {
    /// The job's name.
    #[n(0)]
    pub name: Name,
}

/// What it waits for, in plain words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct JobExplanation {
    /// The job's name.
    #[n(0)]
    pub name: Name,
    /// Its state.
    #[n(1)]
    pub state: JobState,
    /// One reason a line.
    #[n(2)]
    pub reasons: Vec<String>,
}
