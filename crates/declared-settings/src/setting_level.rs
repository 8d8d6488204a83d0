use crate::prelude::*;

/// The level of the tree that a value came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingLevel {
    /// No level set it: the declared default.
    Default,
    /// The settings of the whole fleet.
    Fleet,
    /// The region's settings.
    Region,
    /// The zone's settings.
    Zone,
    /// The queue's own settings.
    Queue,
}
