/// What a scheduler's steps cost in time, beside which they take none.
///
/// ```
/// use fleet_simulator::StepCost;
/// let cost = StepCost::as_in_large_fleets();
/// assert!(cost.step_us(1_000, 0) > 1_000 && cost.step_us(0, 1_000) > 1_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepCost {
    /// A look of a round of placement, in nanoseconds.
    pub look_ns: u64,
    /// A job or a worker in an update to gateways, each update encoded once, in nanoseconds.
    pub line_ns: u64,
}

impl StepCost {
    /// A small fleet whose looks and lines stand for those of a large one, on a machine with 0.6 of a core.
    pub fn as_in_large_fleets() -> Self {
        StepCost { look_ns: 4_000, line_ns: 40_000 }
    }

    /// The time of a step with so many looks and lines, in microseconds.
    pub fn step_us(&self, looks: u64, lines: u64) -> u64 {
        (looks * self.look_ns + lines * self.line_ns) / 1_000
    }
}
