//! The one import of every other file of this program.

pub use std::io::Write;
pub use std::path::PathBuf;
pub use std::process::ExitCode;
pub use std::time::Instant;

pub use getopts::Options;
pub use hdrhistogram::Histogram;
pub use lifetime_placement::prelude::*;

pub use crate::comparison::{Comparison, Contender};
pub use crate::invocation::Invocation;
pub use crate::replay_error::{
    EncodeReportSnafu, FlagsSnafu, HistogramSnafu, NumberSnafu, PlacementSnafu, ReplayError, UnknownFleetSnafu, WriteReportSnafu,
};
pub use crate::spread::Spread;
pub use crate::timing::Timing;
