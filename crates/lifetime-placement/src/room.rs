use crate::prelude::*;

/// Processor, memory and GPU room: of a worker, or needed by a task.
///
/// ```
/// use lifetime_placement::prelude::*;
/// let worker = Room::new(16_000, 65_536);
/// let task = Room::new(500, 1_024);
/// assert!(task.fits(worker));
/// assert_eq!(worker.sub(task).add(task), worker);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core.
    #[n(0)]
    pub cpu_millis: u64,
    /// Megabytes.
    #[n(1)]
    pub memory_mb: u64,
    /// GPUs.
    #[n(2)]
    #[serde(default)]
    pub gpus: u64,
}

impl Room {
    /// A room of so many thousandths of a core and megabytes.
    pub const fn new(cpu_millis: u64, memory_mb: u64) -> Self {
        Self { cpu_millis, memory_mb, gpus: 0 }
    }

    /// The same room with so many GPUs.
    pub const fn with_gpus(self, gpus: u64) -> Self {
        Self { gpus, ..self }
    }

    /// Sum of two rooms.
    pub const fn add(self, other: Self) -> Self {
        Self::new(self.cpu_millis.saturating_add(other.cpu_millis), self.memory_mb.saturating_add(other.memory_mb))
            .with_gpus(self.gpus.saturating_add(other.gpus))
    }

    /// What is left of `self` without `other`; never below zero.
    pub const fn sub(self, other: Self) -> Self {
        Self::new(self.cpu_millis.saturating_sub(other.cpu_millis), self.memory_mb.saturating_sub(other.memory_mb))
            .with_gpus(self.gpus.saturating_sub(other.gpus))
    }

    /// Whether `self` fits into `free` in all dimensions.
    pub const fn fits(self, free: Self) -> bool {
        self.cpu_millis <= free.cpu_millis && self.memory_mb <= free.memory_mb && self.gpus <= free.gpus
    }

    /// Share of `whole` in each dimension, in millionths; an empty dimension counts as full.
    pub fn shares_ppm(self, whole: Self) -> (u64, u64) {
        let share = |part: u64, whole: u64| part.saturating_mul(1_000_000).checked_div(whole).unwrap_or(1_000_000);
        (share(self.cpu_millis, whole.cpu_millis), share(self.memory_mb, whole.memory_mb))
    }
}
