use crate::prelude::*;

/// A task's record.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct Task {
    /// Where it stands.
    #[n(0)]
    pub state: TaskState,
    /// Attempts so far.
    #[n(1)]
    pub attempts: u16,
    /// Failed attempts so far.
    #[n(2)]
    pub failures: u32,
    /// The worker that last failed it: others go first.
    #[n(3)]
    pub avoid: Option<WorkerIndex>,
    /// Attempts that were given up as stalled: each doubles the patience with the next.
    #[n(4)]
    pub stalls: u8,
    /// Where its next attempt goes on from.
    #[n(5)]
    pub checkpoint: Option<String>,
    /// Which of the newest attempts are known to have ended: the lowest bit stands for the newest one.
    #[n(6)]
    #[cbor(default)]
    pub ended: u64,
}

impl Task {
    /// A task that nothing has happened to.
    pub fn new() -> Self {
        Task { state: task_chart().initial(), attempts: 0, failures: 0, avoid: None, stalls: 0, checkpoint: None, ended: 0 }
    }

    /// Begins the attempt of a number.
    pub fn begin_attempt(&mut self, number: u16) {
        let newer = u32::from(number.saturating_sub(self.attempts));
        self.ended = self.ended.checked_shl(newer).unwrap_or(0);
        self.attempts = number;
    }

    /// An attempt ended: nothing of it runs.
    ///
    /// ```
    /// let mut task = scheduler_core::Task::new();
    /// task.begin_attempt(1);
    /// task.note_ended(1);
    /// task.begin_attempt(2);
    /// assert!(task.has_ended(1) && !task.has_ended(2) && !task.has_ended(3));
    /// task.begin_attempt(70);
    /// assert!(!task.has_ended(1), "of attempts so long ago nothing is known");
    /// ```
    pub fn note_ended(&mut self, number: u16) {
        self.ended |= self.ended_bit(number);
    }

    /// Whether an attempt is known to have ended.
    pub fn has_ended(&self, number: u16) -> bool {
        self.ended & self.ended_bit(number) != 0
    }

    fn ended_bit(&self, number: u16) -> u64 {
        let older = self.attempts.checked_sub(number);
        older.and_then(|older| 1u64.checked_shl(u32::from(older))).unwrap_or(0)
    }
}

impl Default for Task {
    fn default() -> Self {
        Self::new()
    }
}

/// A step's record.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct Step {
    /// Steps it still waits for.
    #[n(0)]
    pub waits_for: u32,
    /// Its tasks; empty until it opens, and again once it is over.
    #[n(1)]
    pub tasks: Vec<Task>,
    /// Tasks that were never tried start here.
    #[n(2)]
    pub fresh: u32,
    /// Tasks to be tried again.
    #[n(3)]
    pub again: BTreeSet<u32>,
    /// Tasks out at workers.
    #[n(4)]
    pub live: u32,
    /// Tasks that ended well.
    #[n(5)]
    pub succeeded: u32,
    /// When a gang that is out must run whole, in cluster time.
    #[n(6)]
    pub gang_by: Option<Millis>,
    /// Runs of a gang so far: all members of one run share this number.
    #[n(7)]
    pub gang_runs: u16,
    /// Runs of a gang that failed.
    #[n(8)]
    pub gang_failures: u32,
    /// A member of a gang ended well, which stands for all.
    #[n(9)]
    pub gang_done: bool,
    /// How many of its tasks ended well with a known duration, and how long these ran in all.
    #[n(10)]
    pub durations: (u32, Millis),
    /// The newest run of a gang whose failure is counted; 0: none.
    #[n(11)]
    #[cbor(default)]
    pub newest_failed_run: u16,
}

impl Step {
    /// A step of so many tasks that waits for so many others.
    pub fn new(waits_for: u32) -> Self {
        Step {
            waits_for,
            tasks: Vec::new(),
            fresh: 0,
            again: BTreeSet::new(),
            live: 0,
            succeeded: 0,
            gang_by: None,
            gang_runs: 0,
            gang_failures: 0,
            gang_done: false,
            durations: (0, 0),
            newest_failed_run: 0,
        }
    }

    /// Tasks that could start now, the next one first.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        self.again.iter().copied().chain(self.fresh..self.tasks.len() as u32)
    }

    /// All tasks that wait have ended well; gives how many.
    pub fn succeed_waiting(&mut self) -> u32 {
        let mut settled = 0;
        for task in self.tasks.iter_mut().filter(|task| task.state == TaskState::Waiting) {
            task.state = TaskState::Succeeded;
            settled += 1;
        }
        self.again.clear();
        self.fresh = self.tasks.len() as u32;
        self.succeeded += settled;
        settled
    }

    /// Failures of a gang, once that of a run is counted.
    pub fn gang_failures_with(&self, run: u16) -> u32 {
        self.gang_failures + u32::from(run > self.newest_failed_run)
    }

    /// How many could start now.
    pub fn waiting_count(&self) -> u32 {
        self.again.len() as u32 + (self.tasks.len() as u32).saturating_sub(self.fresh)
    }
}

/// One time at which a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(array)]
pub struct Occurrence {
    /// Not before this cluster time.
    #[n(0)]
    pub due_at: Millis,
    /// Whether its time has come.
    #[n(1)]
    pub due: bool,
}

/// A job's record.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct Job {
    /// Its number.
    #[n(0)]
    pub number: JobNumber,
    /// What its caller stated; dropped once nothing of it is out.
    #[n(1)]
    pub spec: Option<Box<JobSpec>>,
    /// Digest of what its caller stated, to tell a resend from a conflict.
    #[n(2)]
    pub digest: u64,
    /// The list form, kept up to date.
    #[n(3)]
    pub summary: JobSummary,
    /// The times at which its steps run, at least one.
    #[n(4)]
    pub occurrences: Vec<Occurrence>,
    /// Set once it is ending: the state it ends in.
    #[n(6)]
    pub ending: Option<JobState>,
    /// Its steps, those of occurrence 0 first; empty once it is over.
    #[n(7)]
    pub steps: Vec<Step>,
    /// Once it is over: when it is forgotten, in cluster time. Kept, so that it is the same on every scheduler.
    #[n(8)]
    pub forget_at: Millis,
    /// How long it is kept at least once it is over, as its queue said when it was accepted; `None` where nothing was promised.
    #[n(9)]
    #[cbor(default)]
    pub promised_retention_ms: Option<Millis>,
}

impl Job {
    /// Whether nothing of it is out and nothing will be.
    pub fn is_over(&self) -> bool {
        self.summary.state.is_final() && self.spec.is_none()
    }

    /// Where a step stands in the table of all occurrences.
    fn place(&self, id: StepId) -> usize {
        let steps = self.steps.len() / self.occurrences.len().max(1);
        usize::from(id.occurrence) * steps + usize::from(id.step)
    }

    /// A step of an occurrence.
    pub fn step(&self, id: StepId) -> Option<&Step> {
        self.steps.get(self.place(id))
    }

    /// A step of an occurrence, to be changed.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        let place = self.place(id);
        self.steps.get_mut(place)
    }

    /// The ids of all steps of all occurrences.
    pub fn step_ids(&self) -> impl Iterator<Item = StepId> + use<> {
        let (job, occurrences) = (self.number, self.occurrences.len() as u16);
        let steps = (self.steps.len() / self.occurrences.len().max(1)) as u16;
        (0..occurrences).flat_map(move |occurrence| (0..steps).map(move |step| StepId { job, occurrence, step }))
    }

    /// Whether an occurrence's time has come.
    pub fn is_due(&self, occurrence: u16) -> bool {
        self.occurrences.get(usize::from(occurrence)).is_some_and(|o| o.due)
    }

    /// Tasks out at workers.
    pub fn live(&self) -> u32 {
        self.summary.tasks.starting + self.summary.tasks.running
    }

    /// Counts a task from one state to another.
    pub fn count(&mut self, from: TaskState, to: TaskState) {
        let c = &mut self.summary.tasks;
        let mut slot = |s: TaskState, by: i32| {
            let n = match s {
                TaskState::Waiting => &mut c.waiting,
                TaskState::Starting => &mut c.starting,
                TaskState::Running => &mut c.running,
                TaskState::Succeeded => &mut c.succeeded,
                TaskState::Failed => &mut c.failed,
                TaskState::Cancelled => &mut c.cancelled,
            };
            *n = n.saturating_add_signed(by);
        };
        slot(from, -1);
        slot(to, 1);
    }
}

/// Digest of a job as stated.
pub fn job_digest(spec: &JobSpec) -> u64 {
    let mut v = Vec::new();
    // Writing into a Vec can't fail.
    let _ = minicbor::encode(spec, &mut v);
    let d = Sha256::digest(&v);
    u64::from_be_bytes([d[0], d[1], d[2], d[3], d[4], d[5], d[6], d[7]])
}
