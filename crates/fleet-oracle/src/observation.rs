use crate::prelude::*;

/// One thing seen from outside. JSON: `{"observation": "<kind>", ...fields}`.
///
/// `asked_at` of a read is when it was sent: what the answer shows is at least as new as that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "observation", rename_all = "snake_case")]
pub enum Observation {
    /// A caller sent a job, for the first time or again.
    JobSent { spec: JobSpec },
    /// A caller was answered.
    JobAnswered { name: Name, answer: CallResult<JobAccepted> },
    /// A read showed a job.
    JobSeen { name: Name, state: JobState, through: Name, asked_at: Millis },
    /// A read that had to show a job did not.
    JobAbsent { name: Name, through: Name, asked_at: Millis },
    /// A caller sent a cancellation.
    CancelSent { name: Name },
    /// A cancellation was acknowledged.
    CancelAnswered { name: Name, state: JobState },
    /// A worker as it is.
    WorkerKnown { name: Name, cpu_millis: u64, memory_mb: u64, kind: Name, service: Name, zone: Name, rack: Name },
    /// A worker is out of reach of all orders (cut off, frozen), or within reach again.
    WorkerUnreachable { worker: Name, on: bool },
    /// A worker began to run an attempt; the order had reached it at `ordered_at`.
    RunStarted { worker: Name, boot: String, attempt: AttemptId, job_name: Name, cpu_millis: u64, memory_mb: u64, ordered_at: Millis },
    /// A run ended.
    RunEnded { worker: Name, boot: String, attempt: AttemptId, job_name: Name, outcome: Outcome },
    /// A run ended with the process that ran it.
    RunLost { worker: Name, boot: String, attempt: AttemptId, job_name: Name },
    /// A run had ended, and its outcome went with the process before anyone acknowledged to have it.
    ResultLost { worker: Name, boot: String, attempt: AttemptId, job_name: Name, outcome: Outcome },
    /// A drain (`on`) or its end was sent.
    DrainSent { worker: Name, on: bool },
    /// A drain or its end was acknowledged.
    DrainAnswered { worker: Name, on: bool },
    /// An evacuation (`on`) or its end was sent.
    EvacuationSent { zone: Name, on: bool, order_id: String },
    /// An evacuation or its end was acknowledged.
    EvacuationAnswered { zone: Name, on: bool, order_id: String },
    /// What a change that is about to be sent says about kinds of worker; where it lists nothing, any kind will do.
    ConfigurationKinds { change_id: String, kinds: Vec<QueueKinds> },
    /// An operator sent a configuration; `digest` as the answer would give it, empty if not known.
    ConfigurationSent { base: u64, change_id: String, digest: String },
    /// An operator was answered.
    ConfigurationAnswered { change_id: String, answer: CallResult<ConfigurationAccepted> },
    /// A read showed a configuration.
    ConfigurationSeen { through: Name, version: u64, digest: String, asked_at: Millis },
    /// From here on, reads show what is left at the end.
    FinalReads,
}

/// The kinds of worker that one queue may use in one zone, inherited ones included; empty: any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueKinds {
    /// The zone.
    pub zone: Name,
    /// The queue.
    pub queue: Name,
    /// The kinds.
    pub kinds: Vec<Name>,
}

/// An observation with its true time, as recorders hand it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedObservation {
    /// Rises by one within one recorder, from 1.
    pub number: u64,
    /// True time.
    pub at: Millis,
    /// What was seen.
    #[serde(flatten)]
    pub observation: Observation,
}
