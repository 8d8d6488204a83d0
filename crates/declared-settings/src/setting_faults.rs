use crate::prelude::*;

/// Every fault of one document or command line.
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[snafu(display("{}", faults.iter().map(SettingFault::to_string).collect::<Vec<_>>().join("\n")))]
pub struct SettingFaults {
    /// The faults in the order they were met; never empty.
    pub faults: Vec<SettingFault>,
}

impl SettingFaults {
    /// `Ok` with `value` when `faults` is empty, else all of them.
    pub fn unless_none<T>(faults: Vec<SettingFault>, value: T) -> Result<T, Self> {
        if faults.is_empty() { Ok(value) } else { Err(Self { faults }) }
    }

    /// Just one fault.
    pub fn one(path: impl Into<String>, problem: SettingProblem) -> Self {
        Self { faults: vec![SettingFault::new(path, problem)] }
    }
}
