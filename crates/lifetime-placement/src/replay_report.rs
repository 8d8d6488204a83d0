use crate::prelude::*;

/// What a replay measured, after its warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Tasks placed, warm-up included.
    pub tasks: u64,
    /// Mean share of workers that are empty, in hundredths.
    pub empty_pct: f64,
    /// Mean use of processors, in hundredths.
    pub cpu_used_pct: f64,
    /// Mean use of memory, in hundredths.
    pub memory_used_pct: f64,
    /// Processors left over by inflation packing, in hundredths.
    pub stranded_cpu_pct: f64,
    /// Memory left over by inflation packing, in hundredths.
    pub stranded_memory_pct: f64,
    /// Mean time until a worker drained now would be empty, in seconds: empty ones count as 0;
    /// tasks that run until cancelled are moved at once and do not count.
    pub drain_s: f64,
    /// The same over workers that are not empty.
    pub drain_used_s: f64,
    /// Mean number of tasks on a worker that is not empty.
    pub tasks_per_used_worker: f64,
    /// Mean wait of gangs, in seconds.
    pub gang_wait_s: f64,
    /// Longest wait of a gang, in seconds.
    pub gang_wait_most_s: f64,
    /// Mean wait of single tasks, in seconds.
    pub task_wait_s: f64,
    /// Arrivals that never found a place.
    pub never_placed: u64,
    /// Share of tasks placed on a worker that was empty, in hundredths.
    pub opened_pct: f64,
}
