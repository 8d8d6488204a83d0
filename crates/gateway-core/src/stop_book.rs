use crate::prelude::*;

/// A stop that has no answer.
#[derive(Clone, Debug)]
struct OpenStop {
    worker: Name,
    since: Millis,
    out: bool,
    sent_step: u64,
    next_at: Millis,
    tries: u32,
    /// The step in which the worker said that it won't start any more.
    accepted: Option<u64>,
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

    /// Since when the oldest has no answer.
    pub fn oldest(&self) -> Option<Millis> {
        self.open.values().map(|stop| stop.since).min()
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
        let new = OpenStop { worker: order.worker, since: now, out: false, sent_step: 0, next_at: now, tries: 0, accepted: None };
        self.open.entry(order.attempt).or_insert(new);
    }

    /// Forgets those that are not in a whole list, and those of workers that went elsewhere.
    pub fn keep(&mut self, wanted: impl Fn(AttemptId, &str) -> bool) {
        self.open.retain(|a, s| wanted(*a, &s.worker));
    }

    /// Sends what is due; `holder` knows address and assignment of the workers of this gateway's share.
    pub fn send(&mut self, now: Millis, step: u64, holder: impl Fn(&str) -> Option<(String, u64)>, fx: &mut Vec<GatewayEffect>) -> u64 {
        let mut n = 0;
        for (a, s) in self.open.iter_mut().filter(|(_, s)| !s.out && s.next_at <= now) {
            if let Some((address, fence)) = holder(&s.worker) {
                s.out = true;
                s.sent_step = step;
                n += 1;
                fx.push(GatewayEffect::Stop { address, order: StopOrder { attempt: *a, worker: s.worker.clone(), fence } });
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

    /// The worker accepted it; what came of it, the next list tells. Until then it is sent again now and then.
    pub fn accepted(&mut self, now: Millis, step: u64, s: &GatewaySettings, a: AttemptId, rng: &mut impl Rng) {
        if let Some(o) = self.open.get_mut(&a) {
            o.accepted.get_or_insert(step);
        }
        self.again(now, s, a, rng);
    }

    /// Open stops at a worker.
    pub fn open_at<'b>(&'b self, worker: &'b str) -> impl Iterator<Item = AttemptId> + 'b {
        self.open.iter().filter(move |(_, s)| s.worker == worker).map(|(a, _)| *a)
    }

    /// The lists for a hold that left in `step`: a stop that was accepted before is over once its attempt's end is listed, or neither
    /// list has the attempt. Those that neither has are given back: they never ran, or their ends are known.
    pub fn settle_by_lists(&mut self, worker: &str, step: u64, lists: &AttemptLists) -> Vec<AttemptId> {
        let mut absent = Vec::new();
        self.open.retain(|a, stop| {
            let accepted_before = stop.worker == worker && stop.accepted.is_some_and(|at| at < step);
            let listing = if accepted_before { lists.listing(*a) } else { Listing::Running };
            if listing == Listing::Absent {
                absent.push(*a);
            }
            matches!(listing, Listing::Running | Listing::Unlisted)
        });
        absent
    }

    /// It is answered.
    pub fn answered(&mut self, a: AttemptId) {
        self.open.remove(&a);
    }
}
