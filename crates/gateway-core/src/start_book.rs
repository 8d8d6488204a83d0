use crate::prelude::*;

/// Whether a held start may leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Passage {
    /// Now.
    Now {
        /// The worker's address.
        address: String,
        /// The last local time to leave.
        leave_by: Millis,
        /// The lease that it carries, on the worker's clock.
        lease_until: Option<Millis>,
        /// What is expected of it once it runs.
        expected: Expectation,
    },
    /// Not yet.
    Later,
    /// Never.
    Never,
}

/// What a held start has to pass before it leaves.
pub trait StartGate {
    /// Whether it may leave now; what it needs is then given out.
    fn pass(&mut self, order: &StartOrder) -> Passage;

    /// Whether it may leave at all; it doesn't yet.
    fn look(&mut self, order: &StartOrder) -> Passage;
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
                self.records.insert(
                    a,
                    StartRecord {
                        state: OrderState::Dropped,
                        worker: stop.worker.clone(),
                        order: None,
                        given: false,
                        lease_until: None,
                        expected: Expectation { patience: Millis::MAX, estimate_ms: 0 },
                    },
                );
                false
            }
        }
    }

    /// Sends held starts as far as bounds allow, and drops those that may not leave any more: (worker, attempt).
    pub fn send(&mut self, most_out: usize, gate: &mut impl StartGate, fx: &mut Vec<GatewayEffect>) -> Vec<(Name, AttemptId)> {
        let mut dropped = Vec::new();
        let waiting = std::mem::take(&mut self.held);
        for a in waiting {
            let Some(r) = self.records.get_mut(&a).filter(|r| r.state == OrderState::Held) else { continue };
            let full = self.out.len() >= most_out;
            let passage = r.order.as_deref().map_or(Passage::Never, |o| if full { gate.look(o) } else { gate.pass(o) });
            match passage {
                Passage::Never => {
                    r.go(OrderEvent::Drop);
                    r.order = None;
                    dropped.push((r.worker.clone(), a));
                }
                Passage::Later => self.held.push_back(a),
                Passage::Now { address, leave_by, lease_until, expected } => {
                    if r.go(OrderEvent::Send)
                        && let Some(order) = r.order.take()
                    {
                        self.out.insert(a);
                        (r.lease_until, r.expected) = (lease_until, expected);
                        let order = StartOrder { lease_until_ms: lease_until, ..*order };
                        fx.push(GatewayEffect::Start { address, order, leave_by });
                    }
                }
            }
        }
        dropped
    }

    /// What is expected of an attempt, where its start left from here.
    pub fn expected(&self, a: AttemptId) -> Option<Expectation> {
        self.records.get(&a).filter(|r| r.lease_until.is_some()).map(|r| r.expected)
    }

    /// Starts at a worker whose fate is open.
    pub fn sent_to<'b>(&'b self, worker: &'b str) -> impl Iterator<Item = AttemptId> + 'b {
        self.records.iter().filter(move |(_, r)| r.state == OrderState::Sent && r.worker == worker).map(|(a, _)| *a)
    }

    /// The worker's clock is past what starts carried as their lease, and its lists surely lack them: they never ran and never will.
    pub fn void_by_clock(&mut self, worker: &str, clock_ms: Millis, lists: &AttemptLists) -> Vec<AttemptId> {
        let over = |r: &StartRecord| r.lease_until.is_some_and(|until| until < clock_ms);
        let open: Vec<AttemptId> = self.sent_to(worker).filter(|a| lists.lack(*a) && over(&self.records[a])).collect();
        open.into_iter().filter(|a| self.proof(*a, OrderEvent::Void).is_some()).collect()
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
        let all: Vec<AttemptId> = self.records.range(AttemptId::of_job(job)).map(|(a, _)| *a).collect();
        for a in all {
            if let Some(r) = self.records.get_mut(&a) {
                r.go(OrderEvent::Drop);
                r.go(OrderEvent::Proof);
            }
            self.settle(a, most);
        }
    }
}
