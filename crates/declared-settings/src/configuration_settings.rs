use crate::prelude::*;

declare_settings! {
    /// Bounds on the operators' tree and on what is remembered of its changes. Every scheduler of a cluster needs the same ones.
    pub struct ConfigurationSettings {
        /// The greatest size of a tree as sent.
        most_tree_bytes: u64 = 8388608, check(Integers(1024, 268435456)), unit "bytes";
        /// The greatest size of one setting's value as sent.
        most_value_bytes: u64 = 131072, check(Integers(64, 8388608)), unit "bytes";
        /// The most queues in a tree, over all zones.
        most_queues: u64 = 500000, check(Integers(1, 10000000)), unit "queues";
        /// The most faults listed in one answer; the rest are counted.
        most_faults: u64 = 20000, check(Integers(1, 1000000)), unit "faults";
        /// How many of the newest changes are remembered by their id.
        remembered_changes: u64 = 4096, check(Integers(1, 1048576)), unit "changes";
        /// How many changes keep their patch, as a ratio of remembered_changes.
        history_ratio: f64 = 0.25, check(Numbers(0.0, 1.0)), unit "ratio";
        /// The most bytes of all patches kept, as a ratio of most_tree_bytes.
        history_bytes_ratio: f64 = 0.5, check(Numbers(0.0, 4.0)), unit "ratio";
    }
}

impl ConfigurationSettings {
    /// How many patches the history keeps.
    pub fn history_changes(&self) -> usize {
        (self.remembered_changes as f64 * self.history_ratio) as usize
    }

    /// How many bytes all patches of the history may have.
    pub fn history_bytes(&self) -> usize {
        (self.most_tree_bytes as f64 * self.history_bytes_ratio) as usize
    }
}
