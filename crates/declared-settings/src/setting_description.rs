use crate::prelude::*;

/// One setting as declared: for the pages and for `--help`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SettingDescription {
    /// The name in JSON; the flag is the same with dashes.
    pub name: &'static str,
    /// The type in plain words.
    pub type_name: String,
    /// The default in JSON.
    pub default: Value,
    /// The check in plain words.
    pub check: String,
    /// The unit, empty for none.
    pub unit: &'static str,
    /// What the setting does.
    pub help: String,
    /// Whether the command line may give it many times.
    pub many: bool,
}

impl SettingDescription {
    /// The long flag: the name with dashes.
    pub fn flag(&self) -> String {
        self.name.replace('_', "-")
    }
}
