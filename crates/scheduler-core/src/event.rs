use crate::prelude::*;

/// What a command brought about. Events are appended to the journal; all views are folded from them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A job is accepted.
    JobAccepted { spec: Arc<JobSpec>, digest: u64, at: Millis, due_at: Vec<Millis>, urgency: u8 },
    /// The time of an occurrence of a job has come.
    JobDue { job: JobNumber, occurrence: u16 },
    /// A job begins to end.
    JobEnding { job: JobNumber, state: JobState, at: Millis },
    /// Nothing of a job is out any more.
    JobOver { job: JobNumber, state: JobState, at: Millis },
    /// A job is past its retention.
    JobForgotten { job: JobNumber },
    /// An attempt is intended.
    AttemptIntended { task: TaskId, worker: WorkerIndex, at: Millis },
    /// An attempt's start is proven.
    AttemptStarted { task: TaskId, boot_id: String, at: Millis },
    /// An attempt is to be stopped.
    StopWanted { task: TaskId, reason: StopReason },
    /// A running attempt was looked at, and is not stalled.
    AttemptChecked { task: TaskId, next: Millis, overdue: bool },
    /// An attempt is over.
    AttemptOver { task: TaskId, how: TaskEvent, at: Millis },
    /// A step's last task ended well.
    StepDone { step: StepId },
    /// So many members of a gang are out, and must all run by then.
    GangOut { step: StepId, by: Millis, members: u32 },
    /// A gang runs whole, or is no longer waited for.
    GangSettled { step: StepId },
    /// A run of a gang that ends together is over: its good end is that of all members, its failure counts once. So many members wait to
    /// be started again.
    GangRunOver { step: StepId, run: u16, well: bool, waiting: u32 },
    /// How an attempt ended was told after it was over for the log, and its task goes on.
    LateEnd { worker: WorkerIndex, attempt: AttemptId, outcome: Outcome },
    /// A task that waits to start again has ended well, as was told late.
    TaskDoneLate { task: TaskId },
    /// A task has failed once more, as was told late.
    TaskFailedLate { task: TaskId },
    /// Where a task goes on from when it starts again.
    CheckpointSeen { task: TaskId, checkpoint: String },
    /// A worker is known, or told of itself anew.
    WorkerKnown { worker: WorkerIndex, told: RegisterWorker },
    /// A worker came back with another boot.
    WorkerReborn { worker: WorkerIndex, boot_id: String },
    /// A worker's drain changed: as ordered, as asked by itself.
    WorkerDraining { worker: WorkerIndex, ordered: bool, asked: bool },
    /// Work on a worker stands still or crawls.
    WorkerHoldsUp { worker: WorkerIndex },
    /// A worker is about to end: it is forgotten once nothing of it runs.
    WorkerLeaving { worker: WorkerIndex },
    /// A drain's order id is to be remembered.
    DrainOrdered { order_id: String, name: Name, on: bool },
    /// A worker answers its gateway, or doesn't.
    WorkerReachable { worker: WorkerIndex, reachable: bool },
    /// A worker is held by another gateway, or by none.
    WorkerShared { worker: WorkerIndex, gateway: Option<Name> },
    /// A gateway told of a worker that it doesn't hold any more: all but what stays true was passed over.
    StaleFacts { worker: WorkerIndex, assignment: u64 },
    /// An attempt that the log doesn't know runs on a worker.
    OrphanSeen { worker: WorkerIndex, attempt: AttemptId },
    /// ... and doesn't any more.
    OrphanGone { worker: WorkerIndex, attempt: AttemptId },
    /// A worker is forgotten.
    WorkerGone { worker: WorkerIndex, name: Name },
    /// A gateway came or came back.
    GatewayAttached { name: Name, record: GatewayRecord },
    /// A gateway fell silent.
    GatewayLost { name: Name },
    /// The wall clock that timed jobs go by: Unix time at cluster time 0.
    WallClockAgreed { unix_at_zero_ms: Millis },
    /// Another configuration is in force.
    ConfigurationChanged { version: u64, at: Millis },
    /// Bounds of the fold changed.
    RulesChanged { rules: ClusterRules },
    /// A zone is evacuated, or used again.
    ZoneEvacuated { zone: Name, on: bool, order_id: String, at: Millis },
}
