use crate::prelude::*;

/// What a caller still has to do with one of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerJob {
    /// The job, as it was sent.
    pub spec: JobSpec,
    /// The gateway that accepted it.
    pub accepted_by: Option<usize>,
    /// The submit is still under way.
    pub submitting: bool,
    /// A cancellation is still to come or under way.
    pub cancelling: bool,
    /// A second send is still to come or under way.
    pub resending: bool,
    /// It is read until it is final.
    pub polling: bool,
    /// Wait before the next read.
    pub poll_wait_ms: Millis,
}

impl CallerJob {
    /// A job about to be submitted.
    pub fn new(spec: JobSpec) -> Self {
        CallerJob { spec, accepted_by: None, submitting: true, cancelling: false, resending: false, polling: false, poll_wait_ms: 0 }
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        !(self.submitting || self.cancelling || self.resending || self.polling)
    }
}
