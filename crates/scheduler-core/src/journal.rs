use crate::prelude::*;

/// The newest events in memory, by number. Views that lag further than it reaches are built whole.
#[derive(Clone, Debug)]
pub struct Journal {
    next: u64,
    most: usize,
    events: VecDeque<Event>,
}

impl Journal {
    /// An empty journal whose first event gets number `next`, and which keeps `most` events.
    ///
    /// ```
    /// use scheduler_core::{Event, Journal};
    /// let mut j = Journal::new(1, 2);
    /// for job in 1..=3 {
    ///     j.append(Event::JobDue { job, occurrence: 0 });
    /// }
    /// assert_eq!(j.next(), 4);
    /// assert!(j.since(0).is_none());
    /// assert_eq!(j.since(2).unwrap().count(), 1);
    /// ```
    pub fn new(next: u64, most: usize) -> Self {
        Journal { next, most, events: VecDeque::new() }
    }

    /// How many events are kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Number of the next event.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of the last event; 0 when there was none ever.
    pub fn last(&self) -> u64 {
        self.next - 1
    }

    /// Appends an event.
    pub fn append(&mut self, e: Event) {
        if self.events.len() == self.most {
            self.events.pop_front();
        }
        self.events.push_back(e);
        self.next += 1;
    }

    /// The events after number `seen`; `None` when they are not all kept, or the number lies ahead.
    pub fn since(&self, seen: u64) -> Option<impl Iterator<Item = &Event>> {
        let new = (self.next - 1).checked_sub(seen)? as usize;
        let skip = self.events.len().checked_sub(new)?;
        Some(self.events.iter().skip(skip))
    }
}
