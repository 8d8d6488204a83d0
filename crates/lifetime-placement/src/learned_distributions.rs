use crate::prelude::*;

/// (level, queue, kind, shape): a coarser level leaves the finer parts at zero.
type FeatureKey = (u8, u64, u64, Room);

/// Lifetime distributions learned from ended tasks, from fine to coarse:
/// queue, kind and shape; queue and shape; queue; all tasks.
///
/// Memory is bounded: past the set number of keys, the one learned from
/// longest ago gives way. One key holds at most 64 buckets of 24 bytes.
///
/// ```
/// use lifetime_placement::prelude::*;
/// let mut p = LearnedDistributions::new(&PlacementSettings::default());
/// let task = TaskToPlace::new(1, 7, 8, Room::new(500, 512), false);
/// for n in 0..40 {
///     p.learn(&task.features, if n % 4 == 0 { 1_000_000 } else { 2_000 }, false);
/// }
/// let fresh = p.remaining_ms(&task.features, 0).expected_ms;
/// let seasoned = p.remaining_ms(&task.features, 10_000).expected_ms;
/// assert!(seasoned > 3 * fresh, "having outlived the short mode, it is of the long one");
/// ```
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LearnedDistributions {
    #[n(0)]
    keys: BTreeMap<FeatureKey, (u64, LifetimeHistogram)>,
    #[n(1)]
    sequence: u64,
    #[n(2)]
    most_keys: u64,
    #[n(3)]
    most_weight: f64,
    #[n(4)]
    least_samples: f64,
    #[n(5)]
    cold_start_ms: Millis,
}

impl LearnedDistributions {
    /// Levels from fine to coarse.
    const LEVELS: u8 = 4;

    /// Nothing learned yet.
    pub fn new(settings: &PlacementSettings) -> Self {
        Self {
            keys: BTreeMap::new(),
            sequence: 0,
            most_keys: settings.most_keys.max(u64::from(Self::LEVELS)),
            most_weight: settings.most_weight,
            least_samples: settings.least_samples,
            cold_start_ms: settings.cold_start_ms(),
        }
    }

    /// Number of keys held.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// The longest lifetime seen of tasks alike in queue and kind, whatever their shape, and the weight of those that
    /// ended; none while too few have.
    pub fn longest_ms(&self, features: &TaskFeatures) -> Option<(Millis, f64)> {
        let shape = |n: u64| (0, features.queue, features.kind, Room::new(n, n));
        let (mut longest, mut weight) = (None, 0.0);
        for (_, (_, h)) in self.keys.range(shape(0)..=shape(u64::MAX)) {
            longest = longest.max(h.longest());
            weight += h.weight();
        }
        longest.filter(|_| weight >= self.least_samples * 2.0).map(|l| (l, weight))
    }

    fn key(level: u8, f: &TaskFeatures) -> FeatureKey {
        let none = Room::default();
        match level {
            0 => (0, f.queue, f.kind, f.shape),
            1 => (1, f.queue, 0, f.shape),
            2 => (2, f.queue, 0, none),
            _ => (3, 0, 0, none),
        }
    }

    fn touch(&mut self, key: FeatureKey) -> &mut LifetimeHistogram {
        self.sequence += 1;
        if !self.keys.contains_key(&key) && self.keys.len() as u64 >= self.most_keys {
            let oldest = self.keys.iter().min_by_key(|(_, (age, _))| *age).map(|(k, _)| *k);
            oldest.and_then(|k| self.keys.remove(&k));
        }
        let entry = self.keys.entry(key).or_default();
        entry.0 = self.sequence;
        &mut entry.1
    }
}

impl LifetimePredictor for LearnedDistributions {
    fn remaining_ms(&self, features: &TaskFeatures, uptime: Millis) -> Prediction {
        if features.until_cancelled {
            return Prediction::certain(FOREVER);
        }
        // The finest level with enough ended tasks, of which enough outlived the uptime.
        let known = (0..Self::LEVELS)
            .filter_map(|level| self.keys.get(&Self::key(level, features)))
            .filter(|(_, h)| h.weight() >= self.least_samples)
            .filter_map(|(_, h)| h.remaining(uptime))
            .find(|(_, survivors)| *survivors >= self.least_samples / 4.0);
        match known {
            Some((expected_ms, samples)) => Prediction { expected_ms, samples },
            // Nothing outlived it: it may last as long again as it has lasted.
            None => Prediction::fallback(self.cold_start_ms.max(uptime)),
        }
    }

    fn learn(&mut self, features: &TaskFeatures, lifetime_ms: Millis, censored: bool) {
        if features.until_cancelled {
            return;
        }
        for level in 0..Self::LEVELS {
            let most = self.most_weight;
            self.touch(Self::key(level, features)).record(lifetime_ms, censored, most);
        }
    }
}
