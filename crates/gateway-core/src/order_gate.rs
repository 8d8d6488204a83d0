use crate::prelude::*;

/// Lets a start pass while cluster time is surely within its budget and its worker is held under the assignment that the start names.
#[derive(Debug)]
pub struct OrderGate<'a> {
    /// Local time.
    pub now: Millis,
    /// Bound of cluster time.
    pub bound: Option<TimeBound>,
    /// The share.
    pub share: &'a mut WorkerShare,
    /// Bounds.
    pub settings: &'a GatewaySettings,
}

impl OrderGate<'_> {
    /// The last local time to leave, if that isn't past.
    fn leave_by(&self, order: &StartOrder) -> Option<Millis> {
        self.bound?.leave_by(order.intended_at_ms, order.time_budget_ms).filter(|t| *t >= self.now)
    }

    /// What is expected of an attempt. Members of a gang tell of no progress of their own.
    fn expected(&self, order: &StartOrder) -> Expectation {
        match order.gang_by_ms {
            Some(_) => Expectation { patience: Millis::MAX, estimate_ms: 0 },
            None => Expectation { patience: self.settings.stall_patience(order.estimate_ms), estimate_ms: order.estimate_ms },
        }
    }
}

impl StartGate for OrderGate<'_> {
    fn look(&mut self, order: &StartOrder) -> Passage {
        match self.leave_by(order) {
            Some(_) if self.share.mine(&order.worker).is_some_and(|w| w.assignment == order.fence) => Passage::Later,
            _ => Passage::Never,
        }
    }

    fn pass(&mut self, order: &StartOrder) -> Passage {
        let (Some(leave_by), expected) = (self.leave_by(order), self.expected(order)) else { return Passage::Never };
        let held = self.share.mine_mut(&order.worker).filter(|w| w.assignment == order.fence);
        let Some(worker) = held else { return Passage::Never };
        let address = worker.address.clone();
        if !worker.leased {
            return Passage::Now { address, leave_by, lease_until: None, expected };
        }
        // Without a reading of its clock no lease can be stated: the first hold brings one.
        match worker.lease.grant(self.now, self.settings.start_lease()) {
            Some(until) => Passage::Now { address, leave_by, lease_until: Some(until), expected },
            None => Passage::Later,
        }
    }
}
