use crate::prelude::*;

/// A worker, and what runs on it.
#[derive(Default)]
pub(crate) struct WorkerRecord {
    pub(crate) known: bool,
    pub(crate) cpu_millis: u64,
    pub(crate) memory_mb: u64,
    pub(crate) kind: Name,
    pub(crate) service: Name,
    pub(crate) zone: Name,
    pub(crate) used_cpu: u64,
    pub(crate) used_memory: u64,
    pub(crate) open: u32,
    pub(crate) drain: OrderWatch,
    pub(crate) unreachable: bool,
    pub(crate) reachable_since: Millis,
    /// Since when a drain waits for it to be empty.
    pub(crate) emptying_since: Option<Millis>,
}

impl WorkerRecord {
    /// Gives a run's room back. Returns how long the worker took to empty, when it just did under a drain.
    pub(crate) fn close(&mut self, run: &OpenRun, at: Millis) -> Option<Millis> {
        self.used_cpu = self.used_cpu.saturating_sub(run.cpu_millis);
        self.used_memory = self.used_memory.saturating_sub(run.memory_mb);
        self.open = self.open.saturating_sub(1);
        if self.open > 0 {
            return None;
        }
        self.emptying_since.take().map(|t| at.saturating_sub(t))
    }

    /// Whether it has been within reach for longer than this, counted from `since` at the earliest.
    pub(crate) fn reached_for(&self, since: Millis, at: Millis, bound: Millis) -> bool {
        !self.unreachable && at > since.max(self.reachable_since).saturating_add(bound)
    }
}
