use crate::prelude::*;

/// One try at one task: written `job.step.index.number`. It is intended for one worker only.
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

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.task, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let p: Vec<&str> = s.split('.').collect();
        if p.len() != 4 {
            return Err(IdError::Parts { text: s.to_owned(), found: p.len(), wanted: 4 });
        }
        let task = TaskId { job: part(s, &p, 0)?, step: part(s, &p, 1)?, index: part(s, &p, 2)? };
        Ok(AttemptId { task, number: part(s, &p, 3)? })
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
