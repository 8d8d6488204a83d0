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

    /// How much is to come.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is to come.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes what comes next.
    pub fn take(&mut self) -> Option<(Millis, Occurrence)> {
        self.items.pop_first().map(|((at, _), o)| (at, o))
    }
}
