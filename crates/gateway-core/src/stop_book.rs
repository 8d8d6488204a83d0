use crate::prelude::*;

/// A stop that has no answer.
#[derive(Clone, Debug)]
struct OpenStop {
    worker: Name,
    out: bool,
    sent_step: u64,
    next_at: Millis,
    tries: u32,
}

/// Stops, repeated until the worker answers.
#[derive(Clone, Debug, Default)]
pub struct StopBook {
    open: BTreeMap<AttemptId, OpenStop>,
}

impl StopBook {
    /// How many have no answer.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether all have one.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether one has no answer.
    pub fn contains(&self, a: AttemptId) -> bool {
        self.open.contains_key(&a)
    }

    /// Takes an order over.
    pub fn give(&mut self, now: Millis, order: StopOrder) {
        let new = OpenStop { worker: order.worker, out: false, sent_step: 0, next_at: now, tries: 0 };
        self.open.entry(order.attempt).or_insert(new);
    }

    /// Forgets those that are not in a whole list, and those of workers that went elsewhere.
    pub fn keep(&mut self, wanted: impl Fn(AttemptId, &str) -> bool) {
        self.open.retain(|a, s| wanted(*a, &s.worker));
    }

    /// Sends what is due; `address` knows the workers of this gateway's share.
    pub fn send(&mut self, now: Millis, step: u64, address: impl Fn(&str) -> Option<String>, fx: &mut Vec<GatewayEffect>) -> u64 {
        let mut n = 0;
        for (a, s) in self.open.iter_mut().filter(|(_, s)| !s.out && s.next_at <= now) {
            if let Some(address) = address(&s.worker) {
                s.out = true;
                s.sent_step = step;
                n += 1;
                fx.push(GatewayEffect::Stop { address, order: StopOrder { attempt: *a, worker: s.worker.clone() } });
            }
        }
        n
    }

    /// The step in which one was last sent.
    pub fn sent_step(&self, a: AttemptId) -> Option<u64> {
        self.open.get(&a).map(|s| s.sent_step)
    }

    /// No answer came: it is sent again after a wait.
    pub fn again(&mut self, now: Millis, s: &GatewaySettings, a: AttemptId, rng: &mut impl Rng) {
        if let Some(o) = self.open.get_mut(&a) {
            o.out = false;
            o.next_at = now + backoff(s.worker_backoff(), s.worker_backoff_most(), o.tries, rng);
            o.tries = o.tries.saturating_add(1);
        }
    }

    /// It is answered.
    pub fn answered(&mut self, a: AttemptId) {
        self.open.remove(&a);
    }
}
