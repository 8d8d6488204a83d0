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

    /// This part of a room in each dimension, rounded down.
    pub fn scaled(self, part: f64) -> Self {
        let of = |n: u64| (n as f64 * part) as u64;
        Self::new(of(self.cpu_millis), of(self.memory_mb)).with_gpus(of(self.gpus))
    }

    /// How many tasks of one shape fit into this room together.
    ///
    /// ```
    /// use lifetime_placement::prelude::Room;
    /// let free = Room::new(8_000, 4_096).with_gpus(3);
    /// assert_eq!(free.count_of(Room::new(1_000, 1_024).with_gpus(1)), 3);
    /// assert_eq!(free.count_of(Room::new(1_000, 1_024)), 4);
    /// ```
    pub fn count_of(self, one: Self) -> u64 {
        let by = |free: u64, one: u64| free.checked_div(one).unwrap_or(u64::MAX);
        by(self.cpu_millis, one.cpu_millis).min(by(self.memory_mb, one.memory_mb)).min(by(self.gpus, one.gpus))
    }

    /// The larger of two rooms in each dimension.
    pub fn envelope(self, other: Self) -> Self {
        Self::new(self.cpu_millis.max(other.cpu_millis), self.memory_mb.max(other.memory_mb)).with_gpus(self.gpus.max(other.gpus))
    }

    /// The share of `whole` in the dimension of which this takes most, in millionths.
    pub fn dominant_ppm(self, whole: Self) -> u64 {
        self.shares_ppm(whole).into_iter().flatten().max().unwrap_or(0)
    }

    /// The share of `whole` in the dimension of which this has least, in millionths.
    pub fn scarcest_ppm(self, whole: Self) -> u64 {
        self.shares_ppm(whole).into_iter().flatten().min().unwrap_or(0)
    }

    /// Share of `whole` in each dimension, in millionths: processors, memory, GPUs. `None` where there is nothing of a dimension and
    /// nothing is asked of it; where something is asked, it counts as full.
    pub fn shares_ppm(self, whole: Self) -> [Option<u64>; 3] {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, 0) => None,
            _ => Some(part.saturating_mul(1_000_000).checked_div(whole).unwrap_or(1_000_000)),
        };
        [share(self.cpu_millis, whole.cpu_millis), share(self.memory_mb, whole.memory_mb), share(self.gpus, whole.gpus)]
    }
}
