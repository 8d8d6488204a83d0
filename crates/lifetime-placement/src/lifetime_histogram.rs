use crate::prelude::*;

/// Buckets per doubling of the lifetime.
const STEPS: u32 = 2;
/// Lifetimes below 2^6 ms share the first bucket.
const FLOOR_BITS: u32 = 6;
/// Half-octave buckets up to 2^(6 + 32) ms, more than eight years.
const BUCKETS: usize = 64;

/// Observed lifetimes in exponential buckets, with those that were cut short kept apart.
///
/// The conditional expectation is a product-limit estimate: a cut-short task
/// counts as at risk up to its bucket and as nothing beyond it.
/// All sums use plain IEEE addition, multiplication and division, so they are
/// the same on every machine.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LifetimeHistogram {
    /// Bucket -> (ended, sum of their lifetimes, cut short).
    #[n(0)]
    buckets: Vec<(f64, f64, f64)>,
    /// Ended tasks, aged.
    #[n(1)]
    ended: f64,
}

impl LifetimeHistogram {
    /// The weight of ended tasks held now.
    pub const fn weight(&self) -> f64 {
        self.ended
    }

    /// Takes in one lifetime; past `most` ended tasks all counts are halved.
    pub fn record(&mut self, lifetime: Millis, censored: bool, most: f64) {
        let i = Self::index(lifetime);
        if self.buckets.len() <= i {
            self.buckets.resize(i + 1, (0.0, 0.0, 0.0));
        }
        let b = &mut self.buckets[i];
        match censored {
            true => b.2 += 1.0,
            false => {
                b.0 += 1.0;
                b.1 += lifetime as f64;
                self.ended += 1.0;
            }
        }
        let cut: f64 = self.buckets.iter().map(|b| b.2).sum();
        if self.ended + cut > most {
            for b in &mut self.buckets {
                *b = (b.0 / 2.0, b.1 / 2.0, b.2 / 2.0);
            }
            self.ended /= 2.0;
        }
    }

    /// The expected remaining lifetime after `uptime`, and the weight of the
    /// ended tasks that outlived it. None if none did.
    pub fn remaining(&self, uptime: Millis) -> Option<(Millis, f64)> {
        let from = Self::index(uptime);
        let (lo, hi) = (Self::lower(from) as f64, Self::lower(from + 1) as f64);
        let up = uptime as f64;
        // The share of the first bucket that lies beyond the uptime.
        let beyond = ((hi - up) / (hi - lo)).clamp(0.0, 1.0);
        let tail = self.buckets.get(from..)?;
        let share = |k: usize| if k == 0 { beyond } else { 1.0 };
        let survivors: f64 = tail.iter().enumerate().map(|(k, b)| b.0 * share(k)).sum();
        if survivors <= 0.0 {
            return None;
        }
        let mut at_risk: f64 = tail.iter().enumerate().map(|(k, b)| (b.0 + b.2) * share(k)).sum();
        let (mut alive, mut expected, mut last) = (1.0, 0.0, up);
        for (k, b) in tail.iter().enumerate().filter(|(_, b)| b.0 + b.2 > 0.0) {
            let (ended, cut) = (b.0 * share(k), b.2 * share(k));
            if b.0 > 0.0 && at_risk > 0.0 {
                let mean = b.1 / b.0;
                let mean = if k == 0 { mean.max((up + hi) / 2.0) } else { mean };
                let hazard = (ended / at_risk).min(1.0);
                expected += alive * hazard * mean;
                alive *= 1.0 - hazard;
                last = mean;
            }
            at_risk -= ended + cut;
        }
        // What the cut-short ones leave open: as long again as the longest seen.
        expected += alive.max(0.0) * last * 2.0;
        Some(((expected - up).max(1.0) as Millis, survivors))
    }

    /// The upper bound of the longest lifetimes that ended, aged ones below half a task left out.
    pub fn longest(&self) -> Option<Millis> {
        let last = self.buckets.iter().rposition(|b| b.0 >= 0.5)?;
        Some(Self::lower(last + 1))
    }

    /// Bucket of a lifetime: two for each doubling.
    fn index(lifetime: Millis) -> usize {
        let v = lifetime.max(1 << FLOOR_BITS);
        let octave = v.ilog2() - FLOOR_BITS;
        // Upper half of the octave from one and a half times its start.
        let upper = u32::from(v >> (octave + FLOOR_BITS - 1) & 1 == 1);
        ((octave * STEPS + upper) as usize).min(BUCKETS - 1)
    }

    /// The shortest lifetime of a bucket.
    fn lower(index: usize) -> Millis {
        if index == 0 {
            return 0;
        }
        let (octave, upper) = (index as u32 / STEPS, index as u64 % u64::from(STEPS));
        let start = 1_u64 << (octave + FLOOR_BITS);
        start + upper * start / 2
    }
}
