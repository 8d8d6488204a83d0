use crate::prelude::*;

/// Counts broken rules and keeps the first examples of each.
pub(crate) struct Tally {
    counts: BTreeMap<&'static str, u64>,
    examples: Vec<Violation>,
    per_rule: usize,
}

impl Tally {
    pub(crate) fn new(per_rule: usize) -> Self {
        Tally { counts: Rule::ALL.iter().map(|r| (r.name(), 0)).collect(), examples: Vec::new(), per_rule }
    }

    /// Counts one; the words are made only if they are kept.
    pub(crate) fn add(&mut self, rule: Rule, at: Millis, what: impl FnOnce() -> String) {
        let n = self.counts.entry(rule.name()).or_default();
        *n += 1;
        if *n <= self.per_rule as u64 {
            self.examples.push(Violation { rule: rule.name(), at, what: what() });
        }
    }

    /// Counts and examples.
    pub(crate) fn finish(self) -> (BTreeMap<&'static str, u64>, Vec<Violation>) {
        (self.counts, self.examples)
    }
}
