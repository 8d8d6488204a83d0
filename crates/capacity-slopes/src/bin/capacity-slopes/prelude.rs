//! Every name this program's files use.

pub use std::path::PathBuf;
pub use std::process::ExitCode;
pub use std::time::Duration;

pub use capacity_slopes::{CapacityError, CountingAllocator, FleetDriver, FleetSize, ProcessProbe, Variable, measure, read_least};
pub use getopts::{Matches, Options};
