use crate::prelude::*;

/// Facts about one boot of one worker, gathered for the next report.
#[derive(Clone, Debug, Default)]
pub struct FactLine {
    /// Started.
    pub started: BTreeSet<AttemptId>,
    /// Ended.
    pub ended: BTreeMap<AttemptId, EndedAttempt>,
    /// Void.
    pub voided: BTreeSet<AttemptId>,
    /// Missing.
    pub missing: BTreeSet<AttemptId>,
    /// Draining, when it changed.
    pub draining: Option<bool>,
    /// Reachable, when it changed.
    pub reachable: Option<bool>,
}

impl FactLine {
    /// How many facts.
    pub fn len(&self) -> usize {
        let flags = usize::from(self.draining.is_some()) + usize::from(self.reachable.is_some());
        self.started.len() + self.ended.len() + self.voided.len() + self.missing.len() + flags
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds another's facts; its flags are the newer ones.
    pub fn merge(&mut self, other: FactLine) {
        self.started.extend(other.started);
        self.ended.extend(other.ended);
        self.voided.extend(other.voided);
        self.missing.extend(other.missing);
        self.draining = other.draining.or(self.draining);
        self.reachable = other.reachable.or(self.reachable);
    }

    /// As it travels.
    pub fn into_facts(self, worker: Name, boot_id: String) -> WorkerFacts {
        WorkerFacts {
            worker,
            boot_id,
            started: self.started.into_iter().collect(),
            ended: self.ended.into_values().collect(),
            voided: self.voided.into_iter().collect(),
            missing: self.missing.into_iter().collect(),
            draining: self.draining,
            reachable: self.reachable,
            follows: None,
        }
    }
}
