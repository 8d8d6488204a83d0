use crate::prelude::*;

/// Rough bytes of an entry besides its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Rough bytes of one member in a membership entry.
const MEMBER_BYTES: usize = 64;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LogEntry {
    /// Term of the leader that made it.
    #[n(0)]
    pub term: Term,
    /// Its place.
    #[n(1)]
    pub index: Index,
    /// The cluster clock when it was made; never falls along the log.
    #[n(2)]
    pub log_time: Millis,
    /// What it carries.
    #[n(3)]
    pub body: LogEntryBody,
}

impl LogEntry {
    /// Rough size in memory and on the wire.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.body {
                LogEntryBody::Noop => 0,
                LogEntryBody::Command(bytes) => bytes.len(),
                LogEntryBody::Membership(m) => MEMBER_BYTES * (m.members().count() + 1),
            }
    }
}
