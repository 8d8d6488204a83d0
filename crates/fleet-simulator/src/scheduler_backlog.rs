use crate::prelude::*;

/// What waits at a scheduler while a step takes its time, with its time of arrival.
#[derive(Debug, Default)]
pub struct SchedulerBacklog {
    /// What keeps the cluster together goes past the load.
    first: VecDeque<(Millis, Occurrence)>,
    rest: VecDeque<(Millis, Occurrence)>,
}

impl SchedulerBacklog {
    /// Puts something in.
    pub fn push(&mut self, at: Millis, occurrence: Occurrence) {
        let overtakes = match &occurrence {
            Occurrence::Frame { direction, .. } => matches!(&**direction, Direction::Up(frame) if frame.overtakes()),
            Occurrence::SchedulerChannelDown { .. } => false,
            _ => true,
        };
        let queue = if overtakes { &mut self.first } else { &mut self.rest };
        queue.push_back((at, occurrence));
    }

    /// Takes out what is to be handled next, with its time of arrival.
    pub fn pop(&mut self) -> Option<(Millis, Occurrence)> {
        self.first.pop_front().or_else(|| self.rest.pop_front())
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty() && self.rest.is_empty()
    }

    /// Since when something has been waiting that says what its sender knew then.
    pub fn unread_since(&self) -> Option<Millis> {
        self.rest.front().map(|(at, _)| *at)
    }
}
