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
    /// Whether these members run faster within one rack.
    pub same_rack: bool,
    /// Labels asked for.
    pub labels: Vec<Name>,
    /// The rack that holds the data.
    pub near_rack: Option<Name>,
    /// Most tasks of a step on one worker, with the step that this counts for.
    pub spread: Option<(u32, StepId)>,
}

/// A step among those with tasks to start: when it fell due, and which.
pub type ReadyStep = (Millis, StepId);

/// The steps that have tasks to start, grouped.
#[derive(Clone, Debug, Default)]
pub struct ReadyIndex {
    groups: BTreeMap<ReadyGroup, BTreeSet<ReadyStep>>,
}

impl ReadyIndex {
    /// Puts a step in, or takes it out.
    pub fn set(&mut self, group: ReadyGroup, at: ReadyStep, ready: bool) {
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
    pub fn groups(&self) -> impl Iterator<Item = (&ReadyGroup, &BTreeSet<ReadyStep>)> {
        self.groups.iter()
    }

    /// Whether nothing is ready.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
