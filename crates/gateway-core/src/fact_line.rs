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
    /// Lost with the worker's lease.
    pub lost: BTreeSet<AttemptId>,
    /// Standing still.
    pub stalled: BTreeSet<AttemptId>,
    /// Last checkpoints of what is lost.
    pub checkpoints: BTreeMap<AttemptId, String>,
    /// The worker's lease has lapsed.
    pub lapsed: bool,
    /// This life of the worker is over.
    pub gone: bool,
    /// It answers neither orders nor looks.
    pub silent: bool,
}

impl FactLine {
    /// How many facts.
    pub fn len(&self) -> usize {
        let flags = [self.draining.is_some(), self.reachable.is_some(), self.lapsed, self.gone, self.silent];
        let flags = flags.into_iter().filter(|f| *f).count();
        self.lost.len() + self.stalled.len() + self.started.len() + self.ended.len() + self.voided.len() + self.missing.len() + flags
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
        self.lost.extend(other.lost);
        self.stalled.extend(other.stalled);
        self.checkpoints.extend(other.checkpoints);
        self.lapsed |= other.lapsed;
        self.gone |= other.gone;
        self.silent |= other.silent;
    }

    /// As it travels.
    pub fn into_facts(self, source: FactSource) -> WorkerFacts {
        WorkerFacts {
            worker: source.worker,
            boot_id: source.boot,
            assignment: source.assignment,
            started: self.started.into_iter().collect(),
            ended: self.ended.into_values().collect(),
            voided: self.voided.into_iter().collect(),
            missing: self.missing.into_iter().collect(),
            draining: self.draining,
            reachable: self.reachable,
            follows: None,
            lost: self.lost.into_iter().collect(),
            stalled: self.stalled.into_iter().collect(),
            checkpoints: self.checkpoints.into_iter().map(|(attempt, checkpoint)| AttemptCheckpoint { attempt, checkpoint }).collect(),
            lapsed: self.lapsed,
            gone: self.gone,
            silent: self.silent,
        }
    }
}
