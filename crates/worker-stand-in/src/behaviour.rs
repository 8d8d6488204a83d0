use crate::prelude::*;

/// How a worker errs; can be changed while it runs. Ratios lie between 0 and 1.
///
/// ```
/// use worker_stand_in::Behaviour;
/// let b: Behaviour = serde_json::from_str(r#"{"fail_ratio": 0.5, "late_start_ms": [100, 900]}"#).unwrap();
/// assert_eq!((b.fail_ratio, b.slow_factor), (0.5, 1.0));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Starts are carried out this much late, at least and at most.
    pub late_start_ms: (Millis, Millis),
    /// This share of starts and stops is carried out without ever being answered.
    pub lost_answer_ratio: f64,
    /// Tasks that begin from now on run this many times longer.
    pub slow_factor: f64,
    /// This share of the tasks that begin from now on fails.
    pub fail_ratio: f64,
    /// How soon those fail, at the latest.
    pub fail_after_ms: Millis,
    /// This share of the tasks that begin from now on never ends.
    pub stall_ratio: f64,
    /// Until then nothing moves; orders pile up and are carried out after.
    pub frozen_until: Option<Millis>,
    /// Its hold answers ask to drain.
    pub draining: bool,
    /// No order reaches it and no answer leaves it; its tasks run on.
    pub cut_off: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            late_start_ms: (0, 0),
            lost_answer_ratio: 0.0,
            slow_factor: 1.0,
            fail_ratio: 0.0,
            fail_after_ms: 100,
            stall_ratio: 0.0,
            frozen_until: None,
            draining: false,
            cut_off: false,
        }
    }
}
