use crate::prelude::*;

/// How far one running attempt was last seen.
#[derive(Clone, Debug)]
struct Seen {
    percent: u8,
    since: Millis,
    /// When it was first seen, and how far it was then.
    first: (Millis, u8),
    checkpoint: Option<String>,
    told: bool,
}

/// What is expected of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// How long it may stand still.
    pub patience: Millis,
    /// How long it should run in all; 0: nobody knows.
    pub estimate_ms: Millis,
}

/// An attempt that takes this many times its estimate, as its progress so far promises, is held up by its worker.
const SLOW_RATIO: Millis = 4;
/// Hundredths done from which progress promises something.
const LEAST_PERCENT: u8 = 2;
/// An attempt that is further than this is left to end where it runs.
const MOST_PERCENT: u8 = 60;

/// How far the attempts on one worker are: finds those that stand still or crawl, and keeps their last checkpoints.
///
/// ```
/// use cluster_messages::AttemptProgress;
/// use gateway_core::{AttemptWatch, Expectation};
/// let at = |percent| vec![AttemptProgress { attempt: "7.0.1.1".parse().unwrap(), percent, checkpoint: Some("c".into()) }];
/// let usual = |_| Expectation { patience: 500, estimate_ms: 2_000 };
/// let mut w = AttemptWatch::default();
/// assert!(w.saw(0, &at(10), usual).is_empty());
/// assert!(w.saw(400, &at(20), usual).is_empty());
/// assert_eq!(w.saw(900, &at(20), usual).len(), 1);
/// assert!(w.saw(1_900, &at(20), usual).is_empty());
/// assert_eq!(w.checkpoints().len(), 1);
/// let mut w = AttemptWatch::default();
/// w.saw(0, &at(0), usual);
/// assert_eq!(w.saw(300, &at(3), usual).len(), 1, "10 s for what should take 2");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptWatch {
    seen: BTreeMap<AttemptId, Seen>,
}

impl AttemptWatch {
    /// Takes over a list of all that runs. Those that get no further, or far too slowly, are given back, once each.
    pub fn saw(&mut self, now: Millis, list: &[AttemptProgress], expected: impl Fn(AttemptId) -> Expectation) -> Vec<AttemptId> {
        let mut before = std::mem::take(&mut self.seen);
        let mut stalled = Vec::new();
        for p in list {
            let mut new = Seen { percent: p.percent, since: now, first: (now, p.percent), checkpoint: p.checkpoint.clone(), told: false };
            if let Some(old) = before.remove(&p.attempt) {
                (new.first, new.told) = (old.first, old.told);
                if old.percent == p.percent {
                    new.since = old.since;
                }
                if !new.told && new.is_held_up(now, expected(p.attempt)) {
                    new.told = true;
                    stalled.push(p.attempt);
                }
            }
            self.seen.insert(p.attempt, new);
        }
        stalled
    }

    /// The last checkpoints seen.
    pub fn checkpoints(&self) -> Vec<AttemptCheckpoint> {
        let known = |(a, s): (&AttemptId, &Seen)| Some(AttemptCheckpoint { attempt: *a, checkpoint: s.checkpoint.clone()? });
        self.seen.iter().filter_map(known).collect()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}

impl Seen {
    /// Whether it stands still, or promises to take far longer than it should.
    fn is_held_up(&self, now: Millis, e: Expectation) -> bool {
        let stands = now.saturating_sub(self.since) >= e.patience;
        let (first_at, first) = self.first;
        let done = self.percent.saturating_sub(first);
        let young = (LEAST_PERCENT..MOST_PERCENT).contains(&done);
        let whole = now.saturating_sub(first_at) * 100 / Millis::from(done.max(1));
        let crawls = e.estimate_ms > 0 && e.patience < Millis::MAX && young && whole > SLOW_RATIO * e.estimate_ms.max(e.patience);
        stands || crawls
    }
}
