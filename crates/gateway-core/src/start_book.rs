use crate::prelude::*;

/// What a held start has to pass before it leaves.
pub trait StartGate {
    /// The worker's address and the last local time to leave, or `None` when the start may never leave.
    fn pass(&self, order: &StartOrder) -> Option<(String, Millis)>;
}

/// Start orders given to this instance: each leaves once at the most, ever.
#[derive(Clone, Debug, Default)]
pub struct StartBook {
    records: BTreeMap<AttemptId, StartRecord>,
    held: VecDeque<AttemptId>,
    out: BTreeSet<AttemptId>,
    settled: BTreeSet<AttemptId>,
    settled_order: VecDeque<AttemptId>,
}

/// All attempts of a job.
fn of_job(job: JobNumber) -> std::ops::RangeInclusive<AttemptId> {
    let first = AttemptId { task: TaskId { job, step: 0, index: 0 }, number: 0 };
    let last = AttemptId { task: TaskId { job, step: u16::MAX, index: u32::MAX }, number: u16::MAX };
    first..=last
}

impl StartBook {
    /// How far an attempt is, if it is known and not settled.
    pub fn state(&self, a: AttemptId) -> Option<OrderState> {
        self.records.get(&a).map(|r| r.state)
    }

    /// Attempts remembered, settled ones included.
    pub fn len(&self) -> usize {
        self.records.len() + self.settled.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes an order over. True when it is known to be void, so that this has to be told (again).
    pub fn give(&mut self, order: StartOrder) -> bool {
        let a = order.attempt;
        if self.settled.contains(&a) {
            return false;
        }
        if let Some(r) = self.records.get_mut(&a) {
            r.given = true;
            return r.state == OrderState::Dropped;
        }
        self.records.insert(a, StartRecord::new(order));
        self.held.push_back(a);
        false
    }

    /// An attempt that is to be stopped may never leave. True when it is certain that it never did.
    pub fn forbid(&mut self, stop: &StopOrder) -> bool {
        let a = stop.attempt;
        if self.settled.contains(&a) {
            return false;
        }
        match self.records.get_mut(&a) {
            Some(r) => {
                r.go(OrderEvent::Drop);
                r.order = None;
                r.given && r.state == OrderState::Dropped
            }
            None => {
                // Another instance or gateway may have sent it: nothing is proven, but here it is never sent.
                self.records.insert(a, StartRecord { state: OrderState::Dropped, worker: stop.worker.clone(), order: None, given: false });
                false
            }
        }
    }

    /// Sends held starts as far as bounds allow, and drops those that may not leave any more: (worker, attempt).
    pub fn send(&mut self, most_out: usize, gate: &impl StartGate, fx: &mut Vec<GatewayEffect>) -> Vec<(Name, AttemptId)> {
        let mut dropped = Vec::new();
        let waiting = std::mem::take(&mut self.held);
        for a in waiting {
            let Some(r) = self.records.get_mut(&a).filter(|r| r.state == OrderState::Held) else { continue };
            let passed = r.order.as_deref().and_then(|o| gate.pass(o));
            let Some((address, leave_by)) = passed else {
                r.go(OrderEvent::Drop);
                r.order = None;
                dropped.push((r.worker.clone(), a));
                continue;
            };
            if self.out.len() >= most_out {
                self.held.push_back(a);
            } else if r.go(OrderEvent::Send)
                && let Some(order) = r.order.take()
            {
                self.out.insert(a);
                fx.push(GatewayEffect::Start { address, order: *order, leave_by });
            }
        }
        dropped
    }

    /// The worker of a start that is known.
    pub fn worker(&self, a: AttemptId) -> Option<Name> {
        self.records.get(&a).map(|r| r.worker.clone())
    }

    /// The executor is done with a start: its worker, if it is known as sent.
    pub fn answered(&mut self, a: AttemptId, event: Option<OrderEvent>) -> Option<Name> {
        if !self.out.remove(&a) {
            return None;
        }
        event.and_then(|e| self.proof(a, e))
    }

    /// What proves the fate of a sent start: its worker, if that was open.
    pub fn proof(&mut self, a: AttemptId, event: OrderEvent) -> Option<Name> {
        let r = self.records.get_mut(&a)?;
        r.go(event).then(|| r.worker.clone())
    }

    /// An attempt's fate is in the log: only its number is kept, as long as bounds allow.
    pub fn settle(&mut self, a: AttemptId, most: usize) {
        let open = self.records.get(&a).is_some_and(|r| matches!(r.state, OrderState::Held | OrderState::Sent));
        if open {
            return;
        }
        if self.records.remove(&a).is_some() && self.settled.insert(a) {
            self.settled_order.push_back(a);
        }
        while self.settled_order.len() > most {
            if let Some(old) = self.settled_order.pop_front() {
                self.settled.remove(&old);
            }
        }
    }

    /// A job is final: all that is known of it is settled.
    pub fn settle_job(&mut self, job: JobNumber, most: usize) {
        let all: Vec<AttemptId> = self.records.range(of_job(job)).map(|(a, _)| *a).collect();
        for a in all {
            if let Some(r) = self.records.get_mut(&a) {
                r.go(OrderEvent::Drop);
                r.go(OrderEvent::Proof);
            }
            self.settle(a, most);
        }
    }
}
