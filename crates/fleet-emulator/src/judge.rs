use crate::prelude::*;

/// Has the oracle judge observations; those of several recorders want [`true_order`] before.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let v = judge(vec![(20, Observation::FinalReads), (10, Observation::CancelSent { name: "hold-7".into() })], OracleBounds::default(), 30);
/// assert!(v.is_clean());
/// ```
pub fn judge(mut seen: Vec<(Millis, Observation)>, bounds: OracleBounds, end: Millis) -> Verdict {
    // Stable: within one millisecond the order stays as given.
    seen.sort_by_key(|(at, _)| *at);
    let mut oracle = Oracle::new(bounds);
    for (at, o) in seen {
        oracle.observe(at, o);
    }
    oracle.finish(end)
}
