use crate::prelude::*;

/// How long tasks run on a worker, against their like on other workers: 1 as long, 2 twice as long.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
#[cbor(array)]
pub struct WorkerPace {
    /// The smoothed ratio.
    #[n(0)]
    pub ratio: f64,
}

/// Weight of one more sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Bounds of one sample, so that an odd task moves little.
const SAMPLE_BOUNDS: (f64, f64) = (0.25, 8.0);

impl Default for WorkerPace {
    fn default() -> Self {
        WorkerPace { ratio: 1.0 }
    }
}

impl WorkerPace {
    /// Folds the duration of one task beside the mean of its like.
    ///
    /// ```
    /// let mut pace = scheduler_core::WorkerPace::default();
    /// for _ in 0..20 {
    ///     pace.record(1_600, 800.0);
    /// }
    /// assert!(pace.ratio > 1.9 && pace.ratio < 2.1);
    /// ```
    pub fn record(&mut self, duration_ms: Millis, mean_ms: f64) {
        let sample = duration_ms as f64 / mean_ms.max(1.0);
        let sample = sample.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        self.ratio += SAMPLE_WEIGHT * (sample - self.ratio);
    }
}
