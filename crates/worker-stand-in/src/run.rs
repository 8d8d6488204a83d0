use crate::prelude::*;

/// How far an ordered run is.
pub(crate) enum Phase {
    /// Not begun; the start is answered when it does.
    Ordered { begin_at: Millis, token: Option<Token> },
    /// Runs; without `end_at` until it is stopped.
    Running { started: Millis, end_at: Option<Millis>, outcome: Outcome },
}

/// What a start said of its fence and its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartTerms {
    pub(crate) fence: u64,
    pub(crate) lease_until: Option<Millis>,
}

/// One run of an attempt.
pub(crate) struct Run {
    pub(crate) attempt: AttemptId,
    pub(crate) job_name: Name,
    pub(crate) cpu_millis: u64,
    pub(crate) memory_mb: u64,
    pub(crate) ordered_at: Millis,
    pub(crate) until_cancelled: bool,
    pub(crate) payload: TaskPayload,
    pub(crate) phase: Phase,
    pub(crate) terms: StartTerms,
}

impl Run {
    /// When it moves on by itself.
    pub(crate) fn due(&self) -> Option<Millis> {
        match self.phase {
            Phase::Ordered { begin_at, .. } => Some(begin_at),
            Phase::Running { end_at, .. } => end_at,
        }
    }

    /// Whether it has begun.
    pub(crate) fn runs(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}
