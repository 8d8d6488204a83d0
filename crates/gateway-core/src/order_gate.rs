use crate::prelude::*;

/// Lets a start pass while cluster time is surely within its budget and its worker is in the share.
#[derive(Clone, Copy, Debug)]
pub struct OrderGate<'a> {
    /// Local time.
    pub now: Millis,
    /// Bound of cluster time.
    pub bound: Option<TimeBound>,
    /// The share.
    pub share: &'a WorkerShare,
}

impl StartGate for OrderGate<'_> {
    fn pass(&self, order: &StartOrder) -> Option<(String, Millis)> {
        let leave_by = self.bound?.leave_by(order.intended_at_ms, order.time_budget_ms).filter(|t| *t >= self.now)?;
        Some((self.share.mine(&order.worker)?.address.clone(), leave_by))
    }
}
