use crate::prelude::*;

/// What is to come, by time; at one time, in the order in which it was set.
#[derive(Debug, Default)]
pub struct Agenda {
    next: u64,
    items: BTreeMap<(Millis, u64), Occurrence>,
}

impl Agenda {
    /// Sets something for a time.
    pub fn set(&mut self, at: Millis, o: Occurrence) {
        self.next += 1;
        self.items.insert((at, self.next), o);
    }

    /// Takes what comes next.
    pub fn take(&mut self) -> Option<(Millis, Occurrence)> {
        self.items.pop_first().map(|((at, _), o)| (at, o))
    }
}
