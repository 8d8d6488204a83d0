use crate::prelude::*;

/// One task of one step of one job: written `job.step.index`.
///
/// ```
/// use cluster_messages::TaskId;
/// let id: TaskId = "12.0.3".parse().unwrap();
/// assert_eq!((id.job, id.step, id.index), (12, 0, 3));
/// assert_eq!(id.to_string(), "12.0.3");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
#[cbor(array)]
pub struct TaskId {
    /// The job's number.
    #[n(0)]
    pub job: JobNumber,
    /// The step's place in the job, from 0.
    #[n(1)]
    pub step: u16,
    /// The task's place in the step, from 0.
    #[n(2)]
    pub index: u32,
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

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let p: Vec<&str> = s.split('.').collect();
        ensure!(p.len() == 3, PartsSnafu { text: s, found: p.len(), wanted: 3usize });
        Ok(TaskId { job: part(s, &p, 0)?, step: part(s, &p, 1)?, index: part(s, &p, 2)? })
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
