use crate::prelude::*;

/// From where on the doctor speaks up. All are ratios to the two bounds that users were promised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DoctorLimits {
    /// Accepted jobs are visible within this time.
    pub visibility_ms: Millis,
    /// Service returns within this time after a loss.
    pub recovery_ms: Millis,
    /// Memory that one daemon may take, in bytes.
    pub memory_bytes: f64,
}

/// Difference between two machines' clocks that is spoken of, as a share of the visibility bound. `Date` headers
/// carry whole seconds, so that less can't be told apart.
const SKEW_SHARE: f64 = 2.0 / 3.0;
/// Silence of a member that is spoken of, as a share of the recovery bound.
const SILENCE_SHARE: f64 = 0.25;
/// How far a member's log may be behind the furthest one.
const LAG_ENTRIES: u64 = 1_000;

impl DoctorLimits {
    /// Skew that is spoken of.
    pub fn skew_ms(&self) -> u64 {
        (self.visibility_ms as f64 * SKEW_SHARE) as u64
    }

    /// Silence that is spoken of.
    pub fn silence_ms(&self) -> Millis {
        (self.recovery_ms as f64 * SILENCE_SHARE) as Millis
    }

    /// Entries behind that are spoken of.
    pub fn lag_entries(&self) -> u64 {
        LAG_ENTRIES
    }
}

impl Default for DoctorLimits {
    fn default() -> Self {
        DoctorLimits { visibility_ms: 3_000, recovery_ms: 12_000, memory_bytes: 512.0 * 1024.0 * 1024.0 }
    }
}
