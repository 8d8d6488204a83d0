use crate::prelude::*;

/// Gangs that are out and not known to run whole. Without a leader nobody else could end the wait of their members.
///
/// ```
/// use gateway_core::prelude::*;
/// let mut w = GangWatch::default();
/// let a: AttemptId = "7.0.1.1".parse().unwrap();
/// w.note(a, "w1", 50);
/// assert!(w.over(49).is_empty());
/// assert_eq!(w.over(50).len(), 1);
/// w.note(a, "w1", 50);
/// w.settled(a.task.step_id());
/// assert!(w.over(90).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct GangWatch {
    gangs: BTreeMap<StepId, (Millis, BTreeMap<AttemptId, Name>)>,
}

impl GangWatch {
    /// A member's start is at hand; until `due` of the local clock its gang has time.
    pub fn note(&mut self, a: AttemptId, worker: &str, due: Millis) {
        let g = self.gangs.entry(a.task.step_id()).or_default();
        g.0 = due;
        g.1.insert(a, worker.to_owned());
    }

    /// The gang runs whole, or is no longer waited for.
    pub fn settled(&mut self, step: StepId) {
        self.gangs.remove(&step);
    }

    /// A member is gone.
    pub fn gone(&mut self, a: AttemptId) {
        let key = a.task.step_id();
        if let Some(g) = self.gangs.get_mut(&key) {
            g.1.remove(&a);
            if g.1.is_empty() {
                self.gangs.remove(&key);
            }
        }
    }

    /// The members whose time is over: they are to be stopped.
    pub fn over(&mut self, now: Millis) -> Vec<StopOrder> {
        let due: Vec<StepId> = self.gangs.iter().filter(|(_, g)| g.0 <= now).map(|(k, _)| *k).collect();
        let gangs = due.into_iter().filter_map(|k| self.gangs.remove(&k));
        gangs.flat_map(|g| g.1).map(|(attempt, worker)| StopOrder::unsent(attempt, worker)).collect()
    }
}
