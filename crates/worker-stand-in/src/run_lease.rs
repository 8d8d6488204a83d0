use crate::prelude::*;

/// What a worker's own clock shows when the worker boots.
const CLOCK_AT_BOOT: Millis = 100_000;
/// The longest lease, on the worker's own clock.
const LEASE_MOST_MS: Millis = 10_000;
/// A clock that runs as fast as true time, in hundredths.
const TRUE_RATE: u64 = 100;
/// The slowest clock.
const SLOWEST_RATE: u64 = 98;

/// The lease and the fence of a worker that runs work only as long as its gateway wants it to.
///
/// ```
/// use worker_stand_in::RunLease;
/// let mut lease = RunLease::new(0, 100);
/// assert!(lease.admits(2) && lease.admits(3) && !lease.admits(2));
/// lease.extend(0, Some(lease.clock(0) + 500));
/// assert!(!lease.is_over(500) && lease.is_over(501));
/// ```
#[derive(Clone, Debug)]
pub struct RunLease {
    booted_at: Millis,
    /// How fast its clock runs, in hundredths of true time.
    clock_rate: u64,
    /// All that runs is killed once the worker's clock is past this.
    until: Millis,
    fence: u64,
    ended: u64,
    /// Ends up to this one were listed before the lease lapsed last: nobody can be sure to have them.
    unsure_until: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: BTreeMap<TaskId, u16>,
}

impl RunLease {
    /// How fast its clock runs, in hundredths of true time.
    pub fn clock_rate(&self) -> u64 {
        self.clock_rate
    }

    /// One whose clock runs up to 2 % slow, as the seed says.
    pub fn drawn(seed: u64) -> Self {
        Self::new(0, SLOWEST_RATE + seed % (TRUE_RATE - SLOWEST_RATE + 1))
    }

    /// A worker that has just booted.
    pub fn new(now: Millis, clock_rate: u64) -> Self {
        RunLease { booted_at: now, clock_rate, until: 0, fence: 0, ended: 0, unsure_until: 0, over: BTreeMap::new() }
    }

    /// The worker's own clock.
    pub fn clock(&self, now: Millis) -> Millis {
        CLOCK_AT_BOOT + now.saturating_sub(self.booted_at) * self.clock_rate / TRUE_RATE
    }

    /// Whether an order with that fence is carried out; the highest one counts from now on.
    pub fn admits(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }

    /// Lengthens the lease of all that runs.
    pub fn extend(&mut self, now: Millis, until: Option<Millis>) {
        let most = self.clock(now) + LEASE_MOST_MS;
        self.until = self.until.max(until.unwrap_or(0).min(most));
    }

    /// Whether a start with a lease until then is too late.
    pub fn is_late(&self, now: Millis, until: Option<Millis>) -> bool {
        until.is_none_or(|until| self.clock(now) > until)
    }

    /// Whether the lease is over.
    pub fn is_over(&self, now: Millis) -> bool {
        self.clock(now) > self.until
    }

    /// When the lease is over, in true time.
    pub fn over_at(&self) -> Millis {
        let left = (self.until + 1).saturating_sub(CLOCK_AT_BOOT);
        self.booted_at + (left * TRUE_RATE).div_ceil(self.clock_rate)
    }

    /// A run was stopped, or ended: neither it nor an earlier one of its task starts any more.
    pub fn run_over(&mut self, a: AttemptId) {
        let last = self.over.entry(a.task).or_default();
        *last = a.number.max(*last);
    }

    /// Whether a run may not start any more.
    pub fn is_old(&self, a: AttemptId) -> bool {
        self.over.get(&a.task).is_some_and(|last| a.number <= *last)
    }

    /// The number of the next end.
    pub fn next_end(&mut self) -> u64 {
        self.ended += 1;
        self.ended
    }

    /// The lease has lapsed: whether an end that is listed still became unsure by that.
    pub fn is_newly_unsure(&self, end: u64) -> bool {
        end > self.unsure_until
    }

    /// All ends so far are unsure.
    pub fn lapse(&mut self) {
        self.unsure_until = self.ended;
    }
}
