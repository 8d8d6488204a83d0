use crate::prelude::*;

/// A pure model of someone outside: it is told the time and what came back, and yields what to do.
pub trait Model {
    /// One step. `now` never goes back.
    fn step(&mut self, now: Millis, input: CallerInput) -> Vec<CallerEffect>;
    /// When it wants the next `Tick`, at the latest.
    fn next_due(&self) -> Option<Millis>;
}
