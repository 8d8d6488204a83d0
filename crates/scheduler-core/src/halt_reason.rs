use crate::prelude::*;

/// Why a scheduler can't go on: its build doesn't know what is in the log, or its disk gave back something else.
#[derive(Debug, Snafu)]
pub enum HaltReason {
    /// A committed entry can't be read.
    #[snafu(display("entry {index} of the log: {source}"))]
    Entry { index: u64, source: WireError },
    /// A leader's snapshot can't be read.
    #[snafu(display("snapshot at {index}: {source}"))]
    Snapshot { index: u64, source: StateError },
    /// Its id was removed from the members, and removed ids never return.
    #[snafu(display("member {id} was removed: only a new one may join"))]
    Retired { id: u64 },
}
