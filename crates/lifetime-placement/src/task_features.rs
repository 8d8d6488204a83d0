use crate::prelude::*;

/// What is known of a task before it runs, as far as the predictor reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct TaskFeatures {
    /// The task itself. No learned key holds it; the oracle and one-shot predictors look it up.
    #[n(0)]
    pub task: TaskKey,
    /// Digest of the queue's path.
    #[n(1)]
    pub queue: u64,
    /// Digest of the job's kind, priority and labels.
    #[n(2)]
    pub kind: u64,
    /// The room the task asks for.
    #[n(3)]
    pub shape: Room,
    /// The task has no lifetime of its own: it runs until it is cancelled.
    #[n(4)]
    pub until_cancelled: bool,
}

impl TaskFeatures {
    /// A stable digest of texts (a queue's path, a job's kind and labels) for use as a feature.
    ///
    /// ```
    /// use lifetime_placement::prelude::*;
    /// let seating = TaskFeatures::digest(["thaali", "seating"]);
    /// assert_ne!(seating, TaskFeatures::digest(["thaali", "hold"]));
    /// assert_eq!(seating, TaskFeatures::digest(["thaali", "seating"]));
    /// ```
    pub fn digest<T: AsRef<[u8]>>(parts: impl IntoIterator<Item = T>) -> u64 {
        let mut hash = Sha256::new();
        for p in parts {
            let p = p.as_ref();
            hash.update((p.len() as u64).to_be_bytes());
            hash.update(p);
        }
        let out = hash.finalize();
        u64::from_be_bytes(std::array::from_fn(|i| out[i]))
    }
}
