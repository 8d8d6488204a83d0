use crate::prelude::*;

/// Bounds that the fold depends on. They are part of the replicated state, so that schedulers of two builds fold alike;
/// all spans are ratios to `hold_interval_ms`.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ClusterRules {
    /// How often a worker is heard of at least.
    #[n(0)]
    pub hold_interval_ms: Millis,
    /// How long after its intent a start may still leave its gateway.
    #[n(1)]
    pub order_time_budget_ms: Millis,
    /// How long after its intent an unproven start is voided by a stop.
    #[n(2)]
    pub unproven_ms: Millis,
    /// How long after their intent all members of a gang must run.
    #[n(3)]
    pub gang_time_budget_ms: Millis,
    /// First shun; it doubles with each level.
    #[n(4)]
    pub shun_ms: Millis,
    /// Finished jobs kept at most, whatever their retention.
    #[n(5)]
    pub finished_jobs_kept: u64,
    /// Jobs kept at most that are not finished.
    #[n(6)]
    pub open_jobs: u64,
    /// Operators' evacuation order ids remembered.
    #[n(7)]
    pub orders_remembered: u64,
    /// Urgency from which work may use the reserve.
    #[n(8)]
    pub urgent_from: u8,
    /// A task is looked at for a stall this long after its start, and this often.
    #[n(9)]
    pub stall_check_ms: Millis,
    /// It counts as stalled past this many times the longest lifetime seen of its like.
    #[n(10)]
    pub stall_ratio: u64,
    /// How many schedulers are to vote; 0: as many as do.
    #[n(11)]
    pub voters: u64,
    /// Upper bound of the first placement class; the others follow in ratios of ten.
    #[n(12)]
    pub first_class_ms: Millis,
    /// Which version of the fold is in force: entries from before a version are folded as they were then, whatever build reads them.
    #[n(13)]
    #[cbor(default)]
    pub fold_version: u32,
}

/// The fold before versions were counted.
const FIRST_FOLD_VERSION: u32 = 0;
/// From this version on, what a job is promised is fixed as it is accepted.
const PROMISES_FIXED: u32 = 1;
/// The newest version of the fold that this build knows; an elected scheduler puts it in force.
pub const NEWEST_FOLD_VERSION: u32 = PROMISES_FIXED;

/// Upper bound of the first placement class where settings say nothing else.
const FIRST_CLASS_MS: Millis = 60_000;

impl ClusterRules {
    /// Rules as ratios to the hold interval.
    ///
    /// ```
    /// let r = scheduler_core::ClusterRules::new(1_000);
    /// assert!(r.unproven_ms > r.order_time_budget_ms);
    /// ```
    pub fn new(hold_interval_ms: Millis) -> Self {
        let h = hold_interval_ms;
        ClusterRules {
            hold_interval_ms: h,
            order_time_budget_ms: h,
            unproven_ms: 2 * h,
            gang_time_budget_ms: 8 * h,
            shun_ms: 5 * h,
            finished_jobs_kept: 20_000,
            open_jobs: 100_000,
            orders_remembered: 4_096,
            urgent_from: 7,
            stall_check_ms: 10 * h,
            stall_ratio: 3,
            voters: 0,
            first_class_ms: FIRST_CLASS_MS,
            fold_version: FIRST_FOLD_VERSION,
        }
    }

    /// Whether a job keeps what its queue promised when it was accepted, whatever becomes of the queue.
    pub fn fixes_promises(&self) -> bool {
        self.fold_version >= PROMISES_FIXED
    }
}
