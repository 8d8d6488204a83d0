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

/// A queue, and the urgency that the callers of its steps asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadyQueue {
    /// The queue.
    pub queue: Name,
    /// The urgency asked for, if any.
    pub asked: Option<u8>,
}

/// The groups of one queue, by their first step.
pub type QueuedGroups = BTreeMap<ReadyStep, Arc<ReadyGroup>>;

/// The steps that have tasks to start, grouped.
#[derive(Clone, Debug, Default)]
pub struct ReadyIndex {
    groups: BTreeMap<Arc<ReadyGroup>, BTreeSet<ReadyStep>>,
    queues: BTreeMap<ReadyQueue, QueuedGroups>,
}

impl ReadyIndex {
    /// Puts a step in, or takes it out.
    pub fn set(&mut self, group: ReadyGroup, at: ReadyStep, ready: bool) {
        let group = match self.groups.get_key_value(&group) {
            Some((known, _)) => known.clone(),
            None if ready => Arc::new(group),
            None => return,
        };
        let steps = self.groups.entry(group.clone()).or_default();
        let first = steps.first().copied();
        match ready {
            true => steps.insert(at),
            false => steps.remove(&at),
        };
        let new_first = steps.first().copied();
        if new_first.is_none() {
            self.groups.remove(&group);
        }
        if first != new_first {
            self.move_group(group, first, new_first);
        }
    }

    /// Another step is the first one of a group.
    fn move_group(&mut self, group: Arc<ReadyGroup>, from: Option<ReadyStep>, to: Option<ReadyStep>) {
        let key = ReadyQueue { queue: group.queue.clone(), asked: group.asked };
        let groups = self.queues.entry(key.clone()).or_default();
        if let Some(from) = from {
            groups.remove(&from);
        }
        if let Some(to) = to {
            groups.insert(to, group);
        }
        if groups.is_empty() {
            self.queues.remove(&key);
        }
    }

    /// All groups with their steps, the step due first in front.
    pub fn groups(&self) -> impl Iterator<Item = (&ReadyGroup, &BTreeSet<ReadyStep>)> {
        self.groups.iter().map(|(group, steps)| (group.as_ref(), steps))
    }

    /// All queues with something ready.
    pub fn queues(&self) -> impl Iterator<Item = (&ReadyQueue, &QueuedGroups)> {
        self.queues.iter()
    }

    /// Whether anything of a queue is ready.
    pub fn has_queue(&self, queue: &ReadyQueue) -> bool {
        self.queues.contains_key(queue)
    }

    /// The step of a group that follows another one.
    pub fn next_of(&self, group: &ReadyGroup, after: ReadyStep) -> Option<ReadyStep> {
        self.groups.get(group)?.range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }

    /// Whether nothing is ready.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}
