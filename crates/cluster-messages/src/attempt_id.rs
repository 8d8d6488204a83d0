use crate::prelude::*;

/// One try at one task: the task's id and the try's number, written `job.step.index.number`. It is intended for one worker only.
///
/// ```
/// use cluster_messages::AttemptId;
/// let id: AttemptId = "12.0.3.1".parse().unwrap();
/// assert_eq!(id.number, 1);
/// assert_eq!(id.to_string(), "12.0.3.1");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
#[cbor(array)]
pub struct AttemptId {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// Which try, from 1.
    #[n(1)]
    pub number: u16,
}

impl AttemptId {
    /// All attempts of a job, as a range of a sorted table.
    pub fn of_job(job: JobNumber) -> RangeInclusive<AttemptId> {
        let tasks = TaskId::of_job(job);
        AttemptId { task: *tasks.start(), number: 0 }..=AttemptId { task: *tasks.end(), number: u16::MAX }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.task, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let p: Vec<&str> = s.split('.').collect();
        if !matches!(p.len(), 4 | 5) {
            return Err(IdError::Parts { text: s.to_owned(), found: p.len(), wanted: TASK_PARTS + 1 });
        }
        let last = p.len() - 1;
        Ok(AttemptId { task: task_of(s, &p[..last])?, number: part(s, &p, last)? })
    }
}

impl TryFrom<String> for AttemptId {
    type Error = IdError;

    fn try_from(s: String) -> Result<Self, IdError> {
        s.parse()
    }
}

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> String {
        id.to_string()
    }
}
