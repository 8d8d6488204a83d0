use crate::prelude::*;

/// The ends that a worker lists in one answer. Whether an end that isn't listed exists follows from a whole list alone.
///
/// ```
/// use cluster_messages::prelude::{EndList, EndedAttempt, Outcome};
/// let end = |n| EndedAttempt::new(format!("7.0.{n}.1").parse().unwrap(), Outcome::Succeeded);
/// assert!(EndList::limited(vec![end(1)], 2).is_whole());
/// let full = EndList::limited(vec![end(1), end(2)], 2);
/// assert!(!full.is_whole(), "a third one may not have found room");
/// assert_eq!(full.listed().len(), 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(untagged)]
pub enum EndList {
    /// All that are not acknowledged.
    #[n(0)]
    Whole(#[n(0)] Vec<EndedAttempt>),
    /// As many as an answer holds, those with the lowest numbers first: more may follow once these are acknowledged.
    #[n(1)]
    Cut {
        /// Those that found room.
        #[n(0)]
        first: Vec<EndedAttempt>,
    },
}

impl EndList {
    /// The list of a worker whose answers hold so many ends: one that is full may have been cut.
    pub fn limited(ends: Vec<EndedAttempt>, limit: usize) -> Self {
        match ends.len() < limit {
            true => EndList::Whole(ends),
            false => EndList::Cut { first: ends },
        }
    }

    /// The ends that are listed.
    pub fn listed(&self) -> &[EndedAttempt] {
        match self {
            EndList::Whole(ends) | EndList::Cut { first: ends } => ends,
        }
    }

    /// Whether it lists all, so that what it lacks has no end that is still to be told.
    pub fn is_whole(&self) -> bool {
        matches!(self, EndList::Whole(_))
    }
}

impl Default for EndList {
    fn default() -> Self {
        EndList::Whole(Vec::new())
    }
}

impl From<Vec<EndedAttempt>> for EndList {
    fn from(ends: Vec<EndedAttempt>) -> Self {
        EndList::Whole(ends)
    }
}
