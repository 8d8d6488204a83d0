use crate::prelude::*;

/// Every free value of placement. Spans are ratios to the first class bound.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementSettings {
    /// Upper bounds of the classes, in ratios of ten.
    pub class_bounds_ms: [Millis; 4],
    /// Processor or memory use above which an open worker turns recycling.
    pub fill_threshold: f64,
    /// Length of a time budget, as a ratio to the class bound.
    pub expiry_ratio: f64,
    /// Lower bounds of the temporal cost buckets, as ratios to the first class bound.
    pub las_buckets: Vec<f64>,
    /// Whether among recycling workers of a higher class the nearer class goes before temporal
    /// cost (the order of the paper), or all of them rank alike and temporal cost decides.
    pub near_recycling_first: bool,
    /// Time between two repredictions of a worker's tasks, as a ratio to the first class bound.
    pub repredict_ratio: f64,
    /// Most the start of a task may be taken to lie behind its intent, as a ratio to the first class bound.
    pub late_start_ratio: f64,
    /// Class of a task of which nothing is known; the estimate is the middle of that class.
    pub cold_class: u8,
    /// Ended tasks a distribution needs before it is used.
    pub least_samples: f64,
    /// Tasks a distribution holds before all its counts are halved.
    pub most_weight: f64,
    /// Distributions held at most.
    pub most_keys: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self::with_first_bound(60_000)
    }
}

impl PlacementSettings {
    /// Ratio between neighbouring class bounds.
    pub const CLASS_RATIO: Millis = 10;

    /// The defaults, with class bounds of `first`, 10, 100 and 1,000 times `first`.
    pub fn with_first_bound(first: Millis) -> Self {
        let r = Self::CLASS_RATIO;
        Self {
            class_bounds_ms: [first, first * r, first * r * r, first * r * r * r],
            fill_threshold: 0.9,
            expiry_ratio: 1.1,
            las_buckets: vec![0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 12.0, 24.0, 168.0],
            near_recycling_first: true,
            repredict_ratio: 0.1,
            late_start_ratio: 0.1,
            cold_class: 2,
            least_samples: 8.0,
            most_weight: 1024.0,
            most_keys: 4096,
        }
    }

    /// A span given as a ratio to the first class bound.
    pub fn span_ms(&self, ratio: f64) -> Millis {
        (ratio * self.class_bounds_ms[0] as f64) as Millis
    }

    /// Length of the time budget of a class.
    pub fn time_budget_ms(&self, class: LifetimeClass) -> Millis {
        (self.expiry_ratio * class.bound(&self.class_bounds_ms) as f64) as Millis
    }

    /// Class of an expected lifetime.
    pub fn class_of(&self, lifetime: Millis) -> LifetimeClass {
        LifetimeClass::of(lifetime, &self.class_bounds_ms)
    }

    /// Estimate for a task of which nothing is known: the middle of its class.
    pub fn cold_start_ms(&self) -> Millis {
        let class = LifetimeClass::new(self.cold_class);
        let top = class.bound(&self.class_bounds_ms);
        match class == LifetimeClass::SHORTEST {
            true => top / 2,
            false => (top + class.dropped().bound(&self.class_bounds_ms)) / 2,
        }
    }

    /// Temporal cost: the bucket that a prolongation of a worker's exit falls into.
    pub fn temporal_cost(&self, delta: Millis) -> u8 {
        let below = self.las_buckets.iter().take_while(|r| self.span_ms(**r) <= delta).count();
        below.saturating_sub(1) as u8
    }
}
