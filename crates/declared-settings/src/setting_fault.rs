use crate::prelude::*;

/// One fault: where, and what is wrong there.
///
/// ```
/// use declared_settings::prelude::*;
/// let fault = SettingFault::new("settings.urgency", SettingProblem::Missing);
/// assert_eq!(fault.to_string(), "settings.urgency: has to be given");
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[snafu(display("{}: {problem}", if path.is_empty() { "the whole" } else { path }))]
pub struct SettingFault {
    /// The place, as keys joined by dots; empty for the whole document.
    pub path: String,
    /// What is wrong there.
    #[serde(flatten)]
    pub problem: SettingProblem,
}

impl SettingFault {
    /// A fault at `path`.
    pub fn new(path: impl Into<String>, problem: SettingProblem) -> Self {
        Self { path: path.into(), problem }
    }
}
