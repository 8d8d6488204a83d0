use crate::prelude::*;

/// A lifetime mode: (weight, median in first class bounds, sigma of its logarithm).
pub type Mode = (f64, f64, f64);

/// A kind of job in generated traces: one feature set, with one or more lifetime modes.
#[derive(Clone, Copy, Debug)]
pub struct TraceKind {
    /// The operator's queue.
    pub queue: u64,
    /// Arrivals, in thousandths of all.
    pub weight: f64,
    /// Lifetime modes.
    pub modes: &'static [Mode],
    /// Room of one task.
    pub room: Room,
    /// Tasks that must start together; 1 for no gang.
    pub gang: u32,
    /// Runs until cancelled; the modes say when the cancellation comes.
    pub until_cancelled: bool,
}

const fn kind(queue: u64, weight: f64, modes: &'static [Mode], cpu: u64, memory: u64) -> TraceKind {
    TraceKind { queue, weight, modes, room: Room::new(cpu, memory), gang: 1, until_cancelled: false }
}

impl TraceKind {
    /// The mix: 88 of 100 tasks end within the first class bound and take about
    /// 2 of 100 core hours; three kinds have two modes within one feature set.
    pub const MIX: [Self; 14] = [
        kind(0, 250.0, &[(1.0, 0.02, 0.6)], 250, 256),
        kind(0, 200.0, &[(1.0, 0.05, 0.8)], 1_000, 1_024),
        kind(1, 150.0, &[(1.0, 0.15, 0.8)], 2_000, 3_072),
        kind(1, 100.0, &[(1.0, 0.30, 0.5)], 1_000, 6_144),
        kind(2, 120.0, &[(0.92, 0.1, 0.7), (0.08, 30.0, 0.6)], 1_000, 5_120),
        kind(2, 80.0, &[(0.85, 0.2, 0.6), (0.15, 4.0, 0.5)], 3_000, 4_096),
        kind(3, 40.0, &[(1.0, 3.0, 0.5)], 1_500, 8_192),
        kind(3, 10.0, &[(1.0, 5.0, 0.4)], 5_000, 8_192),
        kind(4, 15.0, &[(1.0, 30.0, 0.5)], 3_000, 6_144),
        kind(4, 10.0, &[(1.0, 50.0, 0.5)], 500, 7_168),
        kind(5, 8.0, &[(0.6, 10.0, 0.5), (0.4, 400.0, 0.4)], 1_000, 6_144),
        kind(5, 4.0, &[(1.0, 350.0, 0.5)], 2_500, 9_216),
        TraceKind { until_cancelled: true, ..kind(6, 1.0, &[(1.0, 400.0, 0.8)], 500, 1_024) },
        // Gangs want three quarters of a worker for each member.
        TraceKind { gang: 4, ..kind(7, 0.4, &[(1.0, 2.0, 0.4)], 12_000, 12_288) },
    ];

    /// Mean lifetime in first class bounds.
    pub fn mean(&self) -> f64 {
        self.modes.iter().map(|(p, median, sigma)| p * median * (sigma * sigma / 2.0).exp()).sum()
    }

    /// Draws a lifetime in first class bounds.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        let mut at: f64 = rng.random();
        let mode = self.modes.iter().find(|(p, ..)| {
            at -= p;
            at < 0.0
        });
        let (_, median, sigma) = mode.or(self.modes.last()).copied().unwrap_or((1.0, 1.0, 0.0));
        // Box and Muller: one normal deviate from two uniform ones.
        let (u, v): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        median * (sigma * normal).exp()
    }
}
