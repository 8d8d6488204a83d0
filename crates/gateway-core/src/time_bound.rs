use crate::prelude::*;

/// An upper bound of cluster time: what a scheduler said in answer to something sent at a local time.
///
/// ```
/// use gateway_core::TimeBound;
/// let b = TimeBound { log_time_ms: 500, asked_at: 40 };
/// assert_eq!(b.upper(100), 560);
/// // What was intended at 450 with 200 ms to leave may leave until 190 of the local clock.
/// assert_eq!(b.leave_by(450, 200), Some(190));
/// assert_eq!(b.leave_by(100, 200), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBound {
    /// Cluster time in the answer.
    pub log_time_ms: Millis,
    /// Local time when the question was sent.
    pub asked_at: Millis,
}

impl TimeBound {
    /// Cluster time is at most this.
    pub fn upper(&self, now: Millis) -> Millis {
        self.log_time_ms + now.saturating_sub(self.asked_at)
    }

    /// The last local time at which cluster time is surely within a budget; `None` when that was before the bound.
    pub fn leave_by(&self, intended_at_ms: Millis, time_budget_ms: Millis) -> Option<Millis> {
        let left = intended_at_ms.saturating_add(time_budget_ms).checked_sub(self.log_time_ms)?;
        Some(self.asked_at.saturating_add(left))
    }
}
