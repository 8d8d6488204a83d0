use crate::prelude::*;

/// The settings that one level of the tree sets itself, sorted by name and in
/// canonical form. Levels that set the same share one allocation.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LevelOverrides {
    entries: Box<[(&'static str, Value)]>,
}

impl LevelOverrides {
    /// Takes the entries and sorts them.
    pub(crate) fn new(mut entries: Vec<(&'static str, Value)>) -> Self {
        entries.sort_by_key(|(name, _)| *name);
        Self { entries: entries.into() }
    }

    /// The names and values, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &Value)> {
        self.entries.iter().map(|(name, value)| (*name, value))
    }

    /// The value of one setting, when this level sets it.
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.entries.iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Whether this level sets nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Serialize for LevelOverrides {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}
