use crate::prelude::*;

/// Keeps observations until the one reader has them.
///
/// ```
/// use fleet_oracle::Observation;
/// use worker_stand_in::Recorder;
/// let r = Recorder::default();
/// r.record(8, Observation::FinalReads);
/// r.record(7, Observation::FinalReads);
/// let first = r.read(0, 10);
/// assert_eq!(first.iter().map(|o| (o.number, o.at)).collect::<Vec<_>>(), [(1, 8), (2, 8)]);
/// assert_eq!(r.read(1, 10).len(), 1);
/// ```
#[derive(Default)]
pub struct Recorder {
    kept: Mutex<(u64, VecDeque<RecordedObservation>)>,
}

impl Recorder {
    fn kept(&self) -> MutexGuard<'_, (u64, VecDeque<RecordedObservation>)> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends one; times never fall.
    pub fn record(&self, at: Millis, observation: Observation) {
        let mut k = self.kept();
        k.0 += 1;
        let at = at.max(k.1.back().map_or(0, |o| o.at));
        let number = k.0;
        k.1.push_back(RecordedObservation { number, at, observation });
    }

    /// Those with a number above `after`, at most `limit`; the others are forgotten.
    pub fn read(&self, after: u64, limit: usize) -> Vec<RecordedObservation> {
        let mut k = self.kept();
        while k.1.front().is_some_and(|o| o.number <= after) {
            k.1.pop_front();
        }
        k.1.iter().take(limit).cloned().collect()
    }
}
