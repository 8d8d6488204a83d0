use crate::prelude::*;

/// A step whose turn it is, with what its tasks have in common with others.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep<'a> {
    /// The group.
    pub group: &'a ReadyGroup,
    /// When it fell due, and which step.
    pub at: ReadyStep,
}

/// The waiting steps of one queue in their turn: the one due first in front, but those that the last round got to behind all others.
/// Only what is taken is looked at, however many wait.
#[derive(Clone, Debug)]
pub struct WaitingSteps<'a> {
    index: &'a ReadyIndex,
    queue: &'a ReadyQueue,
    /// The last step that the last round got to, if it was cut short.
    reached: Option<ReadyStep>,
    /// Groups of which nothing was taken yet, those beyond `reached` and those before it.
    beyond: Peekable<btree_map::Range<'a, ReadyStep, Arc<ReadyGroup>>>,
    before: Peekable<btree_map::Range<'a, ReadyStep, Arc<ReadyGroup>>>,
    /// The next steps of groups of which one was planned.
    following: BTreeMap<ReadyStep, &'a ReadyGroup>,
}

impl<'a> WaitingSteps<'a> {
    /// All waiting steps of a queue.
    pub fn new(index: &'a ReadyIndex, queue: &'a ReadyQueue, groups: &'a QueuedGroups, reached: Option<ReadyStep>) -> Self {
        let start = reached.map_or(Bound::Unbounded, Bound::Excluded);
        let none = (Bound::Included(FIRST_STEP), Bound::Excluded(FIRST_STEP));
        let before = reached.map_or(none, |reached| (Bound::Unbounded, Bound::Included(reached)));
        WaitingSteps {
            index,
            queue,
            reached,
            beyond: groups.range((start, Bound::Unbounded)).peekable(),
            before: groups.range(before).peekable(),
            following: BTreeMap::new(),
        }
    }

    /// The queue.
    pub fn queue(&self) -> &'a ReadyQueue {
        self.queue
    }

    /// The step whose turn it is.
    pub fn peek(&mut self) -> Option<ReadyStep> {
        let unseen = self.beyond.peek().or_else(|| self.before.peek()).map(|(at, _)| **at);
        let following = self.following.keys().next().copied();
        match (unseen, following) {
            (Some(unseen), Some(following)) => Some(if self.turn(following) < self.turn(unseen) { following } else { unseen }),
            (unseen, following) => unseen.or(following),
        }
    }

    /// Takes the step whose turn it is.
    pub fn take(&mut self) -> Option<WaitingStep<'a>> {
        let at = self.peek()?;
        if let Some(group) = self.following.remove(&at) {
            return Some(WaitingStep { group, at });
        }
        let (_, group) = self.beyond.next().or_else(|| self.before.next())?;
        Some(WaitingStep { group, at })
    }

    /// A step was planned: the next one of its group may be, too.
    pub fn planned(&mut self, step: WaitingStep<'a>) {
        if let Some(next) = self.index.next_of(step.group, step.at) {
            self.following.insert(next, step.group);
        }
    }

    /// The order of turns.
    fn turn(&self, at: ReadyStep) -> (bool, ReadyStep) {
        (self.reached.is_some_and(|reached| at <= reached), at)
    }
}

/// No step comes before this one.
const FIRST_STEP: ReadyStep = (0, StepId { job: 0, occurrence: 0, step: 0 });
