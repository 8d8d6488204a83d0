use crate::prelude::*;

/// Why a scheduler can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// No data folder is set.
    #[snafu(display("data_folder: a scheduler wants one"))]
    NoDataFolder,
    /// The store can't be used.
    #[snafu(display("data folder: {source}"))]
    Storage { source: StorageError },
    /// The stored state can't be used.
    #[snafu(display("stored state: {source}"))]
    State { source: StateError },
    /// A placement policy that there isn't was named.
    #[snafu(display("policies_off: {source}"))]
    Policy { source: UnknownPolicy },
    /// The process can't be set up.
    #[snafu(display("{source}"))]
    Plumbing { source: PlumbingError },
    /// The writer's thread can't be started.
    #[snafu(display("thread: {source}"))]
    Thread { source: std::io::Error },
    /// The state can't be carried on.
    #[snafu(display("{reason}"))]
    Halted { reason: Arc<HaltReason> },
    /// The disk could not be written: nothing that was not synced may be acknowledged, so the process ends.
    #[snafu(display("the disk writer ended"))]
    DiskGone,
}
