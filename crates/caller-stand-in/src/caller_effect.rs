use crate::prelude::*;

/// What a model wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEffect {
    /// Send this call to this gateway, once.
    Send {
        /// Names the try.
        ticket: u64,
        /// The gateway's place in the list.
        gateway: usize,
        /// The call.
        call: CallBody,
        /// The time for this try; after it the model counts the answer as lost by itself.
        time_budget_ms: Millis,
    },
    /// The caller walked away from this call.
    GiveUp {
        /// The call.
        call: CallBody,
    },
    /// Keep this on record.
    Observe(Observation),
}
