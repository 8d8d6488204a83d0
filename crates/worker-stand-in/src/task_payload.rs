use crate::prelude::*;

/// What a stand-in reads from a task's payload: `{"run_ms": N, "outcome": "succeeded" | "failed", "members": N}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// How long the task runs.
    pub run_ms: Millis,
    /// How it ends.
    pub outcome: Outcome,
    /// Members of the gang that it belongs to, where these work and end together; 0: it is by itself.
    pub members: u32,
}

impl Default for TaskPayload {
    fn default() -> Self {
        TaskPayload { run_ms: 0, outcome: Outcome::Succeeded, members: 0 }
    }
}

impl TaskPayload {
    /// Reads a payload; one of another shape ends well at once.
    pub fn of(p: &Payload) -> Self {
        Self::deserialize(&p.0).unwrap_or_default()
    }
}
