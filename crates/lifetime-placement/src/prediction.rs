use crate::prelude::*;

/// A predicted remaining lifetime, and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Expected remaining lifetime; [`FOREVER`] if the task runs until cancelled.
    pub expected_ms: Millis,
    /// Weight of the observations that outlived the given uptime; 0 for a fallback.
    pub samples: f64,
}

impl Prediction {
    /// A prediction that rests on no observation.
    pub const fn fallback(expected_ms: Millis) -> Self {
        Self { expected_ms, samples: 0.0 }
    }

    /// A prediction known for certain.
    pub const fn certain(expected_ms: Millis) -> Self {
        Self { expected_ms, samples: f64::INFINITY }
    }
}
