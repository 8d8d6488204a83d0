use crate::prelude::*;

/// Ends that a worker counts: finds up to which one all are in the log, so that the worker may forget them.
///
/// ```
/// use gateway_core::EndSequence;
/// let (a, b) = ("7.0.1.1".parse().unwrap(), "7.0.2.1".parse().unwrap());
/// let mut s = EndSequence::default();
/// s.listed(4, a);
/// s.listed(5, b);
/// s.logged(b);
/// assert_eq!(s.observed(), 0);
/// s.logged(a);
/// assert_eq!(s.observed(), 5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndSequence {
    open: BTreeMap<u64, (AttemptId, bool)>,
    observed: u64,
}

impl EndSequence {
    /// The worker lists an end under its number.
    pub fn listed(&mut self, number: u64, a: AttemptId) {
        if number > self.observed {
            self.open.entry(number).or_insert((a, false));
        }
    }

    /// An end is in the log.
    pub fn logged(&mut self, a: AttemptId) {
        self.open.values_mut().filter(|e| e.0 == a).for_each(|e| e.1 = true);
        while let Some(first) = self.open.first_entry().filter(|e| e.get().1) {
            self.observed = *first.key();
            first.remove();
        }
    }

    /// Whether all that were listed are in the log.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// All up to this one are in the log.
    pub fn observed(&self) -> u64 {
        self.observed
    }
}
