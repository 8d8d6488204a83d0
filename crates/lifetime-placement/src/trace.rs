use crate::prelude::*;

/// Arrivals with true lifetimes, generated from a seed.
///
/// ```
/// use lifetime_placement::prelude::*;
/// let shape = FleetShape { length: 20.0, ..FleetShape::new("small", 4, 64) };
/// let trace = Trace::generate(&shape, 60_000, 1);
/// assert_eq!(trace, Trace::generate(&shape, 60_000, 1));
/// assert_ne!(trace, Trace::generate(&shape, 60_000, 2));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// In order of time.
    pub arrivals: Vec<TraceArrival>,
    /// End of the trace.
    pub length: Millis,
}

impl Trace {
    /// Arrivals for a fleet, from time 0 until its length.
    pub fn generate(shape: &FleetShape, first_bound: Millis, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights: f64 = TraceKind::MIX.iter().map(|k| k.weight).sum();
        // Mean demand of one arrival, as a share of the fleet for one first class bound.
        let whole = (shape.room.cpu_millis as f64, shape.room.memory_mb as f64);
        let demand = |part: fn(Room) -> u64, whole: f64| -> f64 {
            let one = |k: &TraceKind| k.weight / weights * k.mean() * f64::from(k.gang) * part(k.room) as f64;
            TraceKind::MIX.iter().map(one).sum::<f64>() / (whole * f64::from(shape.workers))
        };
        let tighter = demand(|r| r.cpu_millis, whole.0).max(demand(|r| r.memory_mb, whole.1));
        let rate = shape.load / tighter;
        let (mut t, mut key, mut arrivals) = (0.0, 0, Vec::new());
        while t < shape.length {
            // Thinning: draw at the highest rate, keep by the rate of the moment.
            let gap: f64 = rng.random();
            t += -(1.0 - gap).ln() / (rate * (1.0 + shape.swing));
            let wave = 1.0 + shape.swing * (std::f64::consts::TAU * t / shape.period).sin();
            if rng.random::<f64>() * (1.0 + shape.swing) > wave {
                continue;
            }
            let mut at = rng.random::<f64>() * weights;
            let found = TraceKind::MIX.iter().zip(0_u64..).find(|(k, _)| {
                at -= k.weight;
                at < 0.0
            });
            let Some((kind, number)) = found else {
                continue;
            };
            let lifetime = ((kind.draw(&mut rng) * first_bound as f64) as Millis).max(1);
            let tasks = (0..kind.gang)
                .map(|_| {
                    key += 1;
                    (TaskToPlace::new(key, kind.queue, number, kind.room, kind.until_cancelled), lifetime)
                })
                .collect();
            arrivals.push(TraceArrival { at: (t * first_bound as f64) as Millis, tasks });
        }
        Self { arrivals, length: (shape.length * first_bound as f64) as Millis }
    }

    /// All tasks with their true lifetimes.
    pub fn tasks(&self) -> impl Iterator<Item = &(TaskToPlace, Millis)> {
        self.arrivals.iter().flat_map(|a| &a.tasks)
    }

    /// An oracle over this trace.
    pub fn oracle(&self) -> Oracle {
        Oracle::new(self.tasks().map(|(t, lifetime)| (t.key, *lifetime)))
    }

    /// A predictor that takes a share of the tasks for some other task of the trace.
    pub fn mistaken<P>(&self, inner: P, share: f64, seed: u64) -> Mistaken<P> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all: Vec<TaskFeatures> = self.tasks().map(|(t, _)| t.features).collect();
        let mut taken = BTreeMap::new();
        for f in &all {
            if rng.random::<f64>() < share {
                taken.insert(f.task, all[rng.random_range(0..all.len())]);
            }
        }
        Mistaken::new(inner, taken)
    }
}
