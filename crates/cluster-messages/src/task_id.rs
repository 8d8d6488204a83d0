use crate::prelude::*;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(array)]
pub struct StepId {
    /// The job's number.
    #[n(0)]
    pub job: JobNumber,
    /// Which time the job's steps run, from 0; 0 for a job that isn't repeated.
    #[n(1)]
    pub occurrence: u16,
    /// The step's place in the job, from 0.
    #[n(2)]
    pub step: u16,
}

impl StepId {
    /// One of its tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }

    /// All of its tasks, as a range of a sorted table.
    pub fn tasks(self) -> RangeInclusive<TaskId> {
        self.task(0)..=self.task(u32::MAX)
    }
}

/// One task of one step of one job: written `job.step.index`, or `job.occurrence.step.index` from the second occurrence of a
/// repeated job on.
///
/// ```
/// use cluster_messages::TaskId;
/// let id: TaskId = "12.0.3".parse().unwrap();
/// assert_eq!((id.job, id.occurrence, id.step, id.index), (12, 0, 0, 3));
/// assert_eq!(id.to_string(), "12.0.3");
/// let again: TaskId = "12.2.0.3".parse().unwrap();
/// assert_eq!((again.occurrence, again.to_string().as_str()), (2, "12.2.0.3"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
#[cbor(array)]
pub struct TaskId {
    /// The job's number.
    #[n(0)]
    pub job: JobNumber,
    /// Which time the job's steps run, from 0.
    #[n(3)]
    pub occurrence: u16,
    /// The step's place in the job, from 0.
    #[n(1)]
    pub step: u16,
    /// The task's place in the step, from 0.
    #[n(2)]
    pub index: u32,
}

impl TaskId {
    /// A task of a job that isn't repeated.
    pub fn new(job: JobNumber, step: u16, index: u32) -> Self {
        TaskId { job, occurrence: 0, step, index }
    }

    /// Its step.
    pub fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }

    /// All tasks of a job, as a range of a sorted table.
    pub fn of_job(job: JobNumber) -> RangeInclusive<TaskId> {
        TaskId::new(job, 0, 0)..=TaskId { job, occurrence: u16::MAX, step: u16::MAX, index: u32::MAX }
    }
}

/// An identifier that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The text hasn't the wanted number of parts.
    #[snafu(display("{text:?} has {found} parts, {wanted} wanted"))]
    Parts { text: String, found: usize, wanted: usize },
    /// A part is no number, or too large a one.
    #[snafu(display("{part:?} in {text:?} is no number of its size"))]
    Number { text: String, part: String },
}

/// Reads one dotted part as a number.
pub(crate) fn part<T: FromStr>(text: &str, parts: &[&str], at: usize) -> Result<T, IdError> {
    parts[at].parse().map_err(|_| IdError::Number { text: text.to_owned(), part: parts[at].to_owned() })
}

/// Parts of a task's id without an occurrence.
pub(crate) const TASK_PARTS: usize = 3;

/// Reads a task's id from its parts, three or four.
pub(crate) fn task_of(text: &str, parts: &[&str]) -> Result<TaskId, IdError> {
    let occurrence = if parts.len() == TASK_PARTS { 0 } else { part(text, parts, 1)? };
    let last = parts.len() - 1;
    Ok(TaskId { job: part(text, parts, 0)?, occurrence, step: part(text, parts, last - 1)?, index: part(text, parts, last)? })
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.occurrence {
            0 => write!(f, "{}.{}.{}", self.job, self.step, self.index),
            k => write!(f, "{}.{k}.{}.{}", self.job, self.step, self.index),
        }
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let p: Vec<&str> = s.split('.').collect();
        ensure!(matches!(p.len(), 3 | 4), PartsSnafu { text: s, found: p.len(), wanted: TASK_PARTS });
        task_of(s, &p)
    }
}

impl TryFrom<String> for TaskId {
    type Error = IdError;

    fn try_from(s: String) -> Result<Self, IdError> {
        s.parse()
    }
}

impl From<TaskId> for String {
    fn from(id: TaskId) -> String {
        id.to_string()
    }
}
