use crate::prelude::*;

/// One region of the tree: what it sets itself, and its zones.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RegionNode {
    /// What the region sets.
    pub overrides: Arc<LevelOverrides>,
    /// Its zones; versions of a tree share those that a patch left alone.
    pub zones: BTreeMap<Arc<str>, Arc<ZoneNode>>,
}
