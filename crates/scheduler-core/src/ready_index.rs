use crate::prelude::*;

/// What makes tasks alike for placement: one failed try at one of them speaks for all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadyGroup {
    /// The queue.
    pub queue: Name,
    /// The urgency that the caller asked for, if any.
    pub asked: Option<u8>,
    /// The service.
    pub service: Name,
    /// The kinds asked for; empty: any.
    pub kinds: Vec<Name>,
    /// Room for each task.
    pub room: Room,
    /// Members that must start together; 0: each alone.
    pub gang: u32,
}

/// The steps that have tasks to start, grouped.
#[derive(Clone, Debug, Default)]
pub struct ReadyIndex {
    groups: BTreeMap<ReadyGroup, BTreeSet<(Millis, JobNumber, u16)>>,
}

impl ReadyIndex {
    /// Puts a step in, or takes it out.
    pub fn set(&mut self, group: ReadyGroup, at: (Millis, JobNumber, u16), ready: bool) {
        if ready {
            self.groups.entry(group).or_default().insert(at);
        } else if let Some(s) = self.groups.get_mut(&group) {
            s.remove(&at);
            if s.is_empty() {
                self.groups.remove(&group);
            }
        }
    }

    /// All groups with their steps, the step due first in front.
    pub fn groups(&self) -> impl Iterator<Item = (&ReadyGroup, &BTreeSet<(Millis, JobNumber, u16)>)> {
        self.groups.iter()
    }

    /// Whether nothing is ready.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
