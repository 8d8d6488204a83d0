/// New asks that earn one repeat.
const ASKS_FOR_ONE: u64 = 5;

/// How many asks may be repeated: a share of those taken, so that repeats can't storm.
///
/// ```
/// use gateway_core::RetryBudget;
/// let mut b = RetryBudget::new(1);
/// assert!(b.take());
/// assert!(!b.take());
/// (0..5).for_each(|_| b.earn());
/// assert!(b.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    parts: u64,
    most: u64,
}

impl RetryBudget {
    /// A full budget of `most` repeats.
    pub fn new(most: usize) -> Self {
        let most = (most as u64).max(1) * ASKS_FOR_ONE;
        RetryBudget { parts: most, most }
    }

    /// An ask was taken.
    pub fn earn(&mut self) {
        self.parts = (self.parts + 1).min(self.most);
    }

    /// Whether one may be repeated now.
    pub fn take(&mut self) -> bool {
        let can = self.parts >= ASKS_FOR_ONE;
        if can {
            self.parts -= ASKS_FOR_ONE;
        }
        can
    }
}
