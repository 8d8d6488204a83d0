use crate::prelude::*;

/// Processor time of this thread so far, in nanoseconds.
pub fn thread_cpu_ns() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}
