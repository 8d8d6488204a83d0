use crate::prelude::*;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// Its seed.
    pub seed: u64,
    /// Whose callers and operators.
    pub profile: Profile,
    /// The judgement from outside.
    pub verdict: Verdict,
    /// Folded states that differ between schedulers at the same log index, and entries or snapshots that one could not
    /// read: checked inside, beside the oracle.
    pub divergences: Vec<String>,
    /// Events handled.
    pub events: u64,
    /// Jobs that callers had accepted.
    pub accepted: u64,
    /// Attempts still out at the end.
    pub attempts_left: usize,
}

impl SimulationOutcome {
    /// Whether nothing was broken.
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.divergences.is_empty()
    }

    /// Broken rules with an example each, and the command that shows it again.
    pub fn describe(&self) -> String {
        let rules: Vec<String> = self.verdict.violations.iter().filter(|v| *v.1 > 0).map(|(r, n)| format!("{r}: {n}")).collect();
        let examples: Vec<String> = self.verdict.examples.iter().map(|v| format!("  {} at {} ms: {}", v.rule, v.at, v.what)).collect();
        format!(
            "seed {}: {} {}\n{}\n  again: cargo run -p fleet-simulator -- --seed {} --verbose",
            self.seed,
            rules.join(", "),
            self.divergences.join("; "),
            examples.join("\n"),
            self.seed
        )
    }
}
