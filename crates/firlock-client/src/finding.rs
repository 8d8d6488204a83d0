use crate::prelude::*;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Worth knowing; nothing is wrong.
    Notice,
    /// Works, with less to spare than it should have.
    Warning,
    /// Something doesn't work, or won't after the next loss.
    Fault,
}

impl Severity {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Severity::Notice => "notice",
            Severity::Warning => "warning",
            Severity::Fault => "fault",
        }
    }
}

/// One thing the doctor found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Its stable name.
    pub code: &'static str,
    /// What it is about.
    pub subject: String,
    /// What was found, and what it means.
    pub meaning: String,
    /// What to do.
    pub advice: String,
}
