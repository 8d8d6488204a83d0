/// Log time or a span of it, in milliseconds.
pub type Millis = u64;

/// Identity of one attempt of one task. The caller keeps it unique among running tasks.
pub type TaskKey = u64;

/// Dense index of a worker, given out by the caller.
pub type WorkerIndex = u32;

/// SHA-256 of an encoded state.
pub type StateDigest = [u8; 32];

/// The remaining lifetime of a task that runs until it is cancelled. A quarter
/// of the range, so that sums of log time and lifetimes do not overflow.
pub const FOREVER: Millis = u64::MAX / 4;
