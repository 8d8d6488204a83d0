use crate::prelude::*;

/// How far one running attempt was last seen.
#[derive(Clone, Debug)]
struct Seen {
    percent: u8,
    since: Millis,
    checkpoint: Option<String>,
    told: bool,
}

/// How far the attempts on one worker are: finds those that stand still, and keeps their last checkpoints.
///
/// ```
/// use cluster_messages::AttemptProgress;
/// use gateway_core::AttemptWatch;
/// let at = |percent| vec![AttemptProgress { attempt: "7.0.1.1".parse().unwrap(), percent, checkpoint: Some("c".into()) }];
/// let mut w = AttemptWatch::default();
/// assert!(w.saw(0, &at(10), |_| 500).is_empty());
/// assert!(w.saw(400, &at(11), |_| 500).is_empty());
/// assert_eq!(w.saw(900, &at(11), |_| 500).len(), 1);
/// assert!(w.saw(1_900, &at(11), |_| 500).is_empty());
/// assert_eq!(w.checkpoints().len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AttemptWatch {
    seen: BTreeMap<AttemptId, Seen>,
}

impl AttemptWatch {
    /// Takes over a list of all that runs. Those that got no further for their `patience` are given back, once each.
    pub fn saw(&mut self, now: Millis, list: &[AttemptProgress], patience: impl Fn(AttemptId) -> Millis) -> Vec<AttemptId> {
        let mut before = std::mem::take(&mut self.seen);
        let mut stalled = Vec::new();
        for p in list {
            let old = before.remove(&p.attempt);
            let mut new = Seen { percent: p.percent, since: now, checkpoint: p.checkpoint.clone(), told: false };
            if let Some(old) = old.filter(|o| o.percent == p.percent) {
                (new.since, new.told) = (old.since, old.told);
                if !new.told && now.saturating_sub(new.since) >= patience(p.attempt) {
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
