use crate::prelude::*;

/// One zone of the tree: what it sets itself, and its queues.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneNode {
    /// What the zone sets.
    pub overrides: Arc<LevelOverrides>,
    /// What each of its queues sets.
    pub queues: BTreeMap<Arc<str>, Arc<LevelOverrides>>,
}
