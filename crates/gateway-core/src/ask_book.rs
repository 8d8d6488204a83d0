use crate::prelude::*;

/// Retry hint of a shed ask, as a part of the election timeout.
const SHED_HINT_PART: Millis = 5;
/// Repeats saved up at most, as a part of the inbox.
const REPEAT_PART: usize = 2;

/// The bounded inbox of asks.
#[derive(Clone, Debug)]
pub struct AskBook {
    waiting: BTreeMap<u64, PendingAsk>,
    ends: BTreeSet<(Millis, u64)>,
    next: u64,
    repeats: RetryBudget,
}

impl AskBook {
    /// An empty one.
    pub fn new(s: &GatewaySettings) -> Self {
        AskBook { waiting: BTreeMap::new(), ends: BTreeSet::new(), next: 1, repeats: RetryBudget::new(s.inbox / REPEAT_PART) }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an ask, or sheds it; its number among those that wait.
    pub fn take(&mut self, now: Millis, s: &GatewaySettings, ask: (u64, Millis, CallBody), rng: &mut impl Rng) -> Result<u64, CallError> {
        let (ask, budget, body) = ask;
        let first = s.election_timeout_ms / SHED_HINT_PART;
        if self.waiting.len() >= AskRank::of(&body).limit(s.inbox) {
            let retry_after_ms = first + backoff(first, first, 0, rng);
            return Err(CallError::Shed { limit: "gateway inbox".into(), retry_after_ms });
        }
        self.repeats.earn();
        let n = self.next;
        self.next += 1;
        let p = PendingAsk { ask, body, expires_at: now.saturating_add(budget), waits_since: Some(now), left: false };
        self.ends.insert((p.ends_at(s.patience()), n));
        self.waiting.insert(n, p);
        Ok(n)
    }

    /// Those without a leader: the more urgent first, then in order of arrival.
    pub fn without_leader(&self) -> Vec<u64> {
        let mut v: Vec<(Reverse<AskRank>, u64)> =
            self.waiting.iter().filter(|(_, p)| p.waits_since.is_some()).map(|(n, p)| (Reverse(AskRank::of(&p.body)), *n)).collect();
        v.sort_unstable();
        v.into_iter().map(|(_, n)| n).collect()
    }

    /// The frame that asks the leader; an ask that left before costs one repeat, and `None` when there is none.
    pub fn forward(&mut self, now: Millis, s: &GatewaySettings, n: u64) -> Option<(GatewayFrame, bool)> {
        let p = self.waiting.get_mut(&n)?;
        let again = p.left;
        if p.expires_at <= now || (again && !self.repeats.take()) {
            return None;
        }
        self.ends.remove(&(p.ends_at(s.patience()), n));
        p.waits_since = None;
        p.left = true;
        self.ends.insert((p.expires_at, n));
        Some((GatewayFrame::Ask { request: n, time_budget_ms: p.expires_at - now, body: p.body.clone() }, again))
    }

    /// The leader is lost: all that were with it wait for the next one.
    pub fn leader_lost(&mut self, now: Millis, s: &GatewaySettings) {
        for (n, p) in self.waiting.iter_mut().filter(|(_, p)| p.waits_since.is_none()) {
            self.ends.remove(&(p.expires_at, *n));
            p.waits_since = Some(now);
            self.ends.insert((p.ends_at(s.patience()), *n));
        }
    }

    /// Takes one out for good.
    pub fn remove(&mut self, s: &GatewaySettings, n: u64) -> Option<PendingAsk> {
        let p = self.waiting.remove(&n)?;
        self.ends.remove(&(p.ends_at(s.patience()), n));
        Some(p)
    }

    /// Takes out all whose end has come.
    pub fn ended(&mut self, now: Millis, s: &GatewaySettings) -> Vec<PendingAsk> {
        let mut v = Vec::new();
        while let Some(&(at, n)) = self.ends.first().filter(|e| e.0 <= now) {
            self.ends.remove(&(at, n));
            v.extend(self.remove(s, n));
        }
        v
    }
}
