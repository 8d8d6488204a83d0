use crate::prelude::*;

/// What one answer of a worker proves about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It runs.
    Running,
    /// It has ended, and the answer tells how.
    Ended,
    /// It neither runs nor has it an end that is still to be told.
    Absent,
    /// It may have ended: the list of ends was cut, or left out.
    Unlisted,
}

/// Both lists of one answer to a hold. All that follows from an attempt's absence is read off here.
///
/// ```
/// use gateway_core::prelude::*;
/// let (a, b) = ("7.0.1.1".parse().unwrap(), "7.0.2.1".parse().unwrap());
/// let ended = EndList::limited(vec![EndedAttempt::new(a, Outcome::Succeeded)], 1);
/// let cut = AttemptLists::of(&HoldAnswer { ended, ..HoldAnswer::default() });
/// assert_eq!((cut.listing(a), cut.listing(b)), (Listing::Ended, Listing::Unlisted));
/// assert_eq!(AttemptLists::of(&HoldAnswer::default()).listing(b), Listing::Absent);
/// ```
#[derive(Clone, Debug)]
pub struct AttemptLists {
    running: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
    ends_whole: bool,
}

impl AttemptLists {
    /// Those of an answer. One that leaves its lists out shows nothing and proves no absence.
    pub fn of(answer: &HoldAnswer) -> Self {
        AttemptLists {
            running: answer.running.iter().copied().collect(),
            ended: answer.ended.listed().iter().map(|end| end.attempt).collect(),
            ends_whole: answer.ended.is_whole() && !answer.unchanged,
        }
    }

    /// What they prove about an attempt. One that is in both lists has been seen to run and to end: the end is the newer word.
    pub fn listing(&self, attempt: AttemptId) -> Listing {
        match () {
            () if self.ended.contains(&attempt) => Listing::Ended,
            () if self.running.contains(&attempt) => Listing::Running,
            () if self.ends_whole => Listing::Absent,
            () => Listing::Unlisted,
        }
    }

    /// Whether an attempt is proven to be in neither list.
    pub fn lack(&self, attempt: AttemptId) -> bool {
        self.listing(attempt) == Listing::Absent
    }
}
