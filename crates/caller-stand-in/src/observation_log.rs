use crate::prelude::*;

/// What was seen, in order, with a clock shared by all who record: milliseconds since a given Unix time.
#[derive(Debug)]
pub struct ObservationLog {
    /// The clock's value when this process began to count.
    start_ms: Millis,
    start: Instant,
    inner: Mutex<Vec<RecordedObservation>>,
}

impl ObservationLog {
    /// A log whose clock is 0 at this Unix time. After its start the clock runs evenly, whatever the wall clock does.
    pub fn new(epoch_unix_ms: u64) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        ObservationLog { start_ms: unix.saturating_sub(epoch_unix_ms), start: Instant::now(), inner: Mutex::default() }
    }

    /// The clock.
    pub fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_millis() as Millis
    }

    fn inner(&self) -> MutexGuard<'_, Vec<RecordedObservation>> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds one.
    pub fn record(&self, observation: Observation) {
        let mut v = self.inner();
        // Read under the lock, so that times rise with numbers.
        let (number, at) = (v.len() as u64 + 1, self.now());
        v.push(RecordedObservation { number, at, observation });
    }

    /// Those after a number, at most so many.
    pub fn after(&self, number: u64, limit: usize) -> Vec<RecordedObservation> {
        let v = self.inner();
        let from = (number as usize).min(v.len());
        v[from..v.len().min(from.saturating_add(limit))].to_vec()
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.inner().len() as u64
    }
}
