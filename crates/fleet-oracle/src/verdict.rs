use crate::prelude::*;

/// One broken rule, with what showed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// True time of the observation that showed it.
    pub at: Millis,
    /// What happened, in plain words.
    pub what: String,
}

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// How often each rule was broken; every rule is listed.
    pub violations: BTreeMap<&'static str, u64>,
    /// The first few of each rule.
    pub examples: Vec<Violation>,
    /// Figures.
    pub figures: Figures,
}

impl Verdict {
    /// Whether no rule was broken.
    ///
    /// ```
    /// use fleet_oracle::{Oracle, OracleBounds};
    /// assert!(Oracle::new(OracleBounds::default()).finish(0).is_clean());
    /// ```
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|&n| n == 0)
    }

    /// How often one rule was broken.
    pub fn count(&self, rule: Rule) -> u64 {
        self.violations.get(rule.name()).copied().unwrap_or(0)
    }
}
