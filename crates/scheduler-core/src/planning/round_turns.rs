use crate::prelude::*;

/// Which queues had their turn in rounds of placement that were cut short, since they had cost enough: the next round begins with the
/// others, and goes on in each of these where it was left.
///
/// ```
/// use cluster_messages::StepId;
/// use scheduler_core::{ReadyQueue, RoundTurns};
/// let queue = |name: &str| ReadyQueue { queue: name.into(), asked: None };
/// let step = (5, StepId { job: 1, occurrence: 0, step: 0 });
/// let mut turns = RoundTurns::default();
/// turns.had_turn(&queue("a"), None);
/// turns.had_turn(&queue("b"), Some(step));
/// turns.had_turn(&queue("a"), None);
/// assert_eq!(turns.reached(&queue("b")), Some(step));
/// assert!(turns.place(&queue("c")) < turns.place(&queue("b")) && turns.place(&queue("b")) < turns.place(&queue("a")));
/// turns.forget(&queue("a"));
/// assert_eq!(turns.place(&queue("a")), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoundTurns {
    /// The queues, the one whose turn was last behind, with the last step that was got to where that wasn't the last of all.
    had_turn: Vec<(ReadyQueue, Option<ReadyStep>)>,
}

impl RoundTurns {
    /// The last step of a queue that was got to, if there are others.
    pub fn reached(&self, queue: &ReadyQueue) -> Option<ReadyStep> {
        self.had_turn.iter().find(|(known, _)| known == queue).and_then(|(_, step)| *step)
    }

    /// The place of a queue among those of its urgency: 0 for all whose turn is still to come.
    pub fn place(&self, queue: &ReadyQueue) -> usize {
        self.had_turn.iter().position(|(known, _)| known == queue).map_or(0, |place| place + 1)
    }

    /// A queue had its turn in a round that was cut short.
    pub fn had_turn(&mut self, queue: &ReadyQueue, reached: Option<ReadyStep>) {
        self.forget(queue);
        self.had_turn.push((queue.clone(), reached));
    }

    /// All queues of an urgency had their turn.
    pub fn forget(&mut self, queue: &ReadyQueue) {
        self.had_turn.retain(|(known, _)| known != queue);
    }

    /// Forgets queues in which nothing waits.
    pub fn keep(&mut self, waiting: impl Fn(&ReadyQueue) -> bool) {
        self.had_turn.retain(|(queue, _)| waiting(queue));
    }
}
