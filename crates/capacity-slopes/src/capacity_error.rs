use crate::prelude::*;

/// Why no slopes came about.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CapacityError {
    /// A core could not begin.
    #[snafu(display("a scheduler can't begin: {source}"))]
    Core { source: scheduler_core::prelude::StateError },
    /// The fleet never came to the load wanted.
    #[snafu(display("{what}: {found} of {wanted} after {after_ms} simulated ms"))]
    NotReached { what: &'static str, found: u64, wanted: u64, after_ms: Millis },
    /// Too few sizes, or all alike.
    #[snafu(display("{points} points make no line"))]
    NoLine { points: usize },
    /// A file could not be written.
    #[snafu(display("{}: {source}", path.display()))]
    Writing { path: PathBuf, source: std::io::Error },
    /// A plot could not be drawn.
    #[snafu(display("{}: {reason}", path.display()))]
    Drawing { path: PathBuf, reason: String },
    /// The report could not be written as JSON.
    #[snafu(display("report: {source}"))]
    Json { source: serde_json::Error },
}
