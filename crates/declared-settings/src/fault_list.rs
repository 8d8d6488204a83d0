use crate::prelude::*;

/// Collects faults up to a bound and counts the rest, so that hostile input
/// cannot grow the answer without end.
#[derive(Debug, Clone, Default)]
pub struct FaultList {
    most: usize,
    faults: Vec<SettingFault>,
    unlisted: u64,
}

impl FaultList {
    /// An empty list that keeps `most` faults.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    /// Adds one fault, or counts it when the list is full.
    pub fn add(&mut self, path: &str, problem: SettingProblem) {
        if self.faults.len() < self.most {
            self.faults.push(SettingFault::new(path, problem));
        } else {
            self.unlisted += 1;
        }
    }

    /// Whether no fault was added.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty() && self.unlisted == 0
    }

    /// The faults, with a last one that counts those left out.
    pub fn into_faults(self) -> Vec<SettingFault> {
        let mut faults = self.faults;
        if self.unlisted > 0 {
            faults.push(SettingFault::new("", SettingProblem::Unlisted { count: self.unlisted }));
        }
        faults
    }
}
