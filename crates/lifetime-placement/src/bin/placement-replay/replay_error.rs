use crate::prelude::*;

/// What can go wrong in this program.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ReplayError {
    /// Wrong flags.
    #[snafu(display("flags"))]
    Flags {
        /// Which.
        source: getopts::Fail,
    },
    /// Not a number.
    #[snafu(display("{text} is no number"))]
    Number {
        /// What was given.
        text: String,
    },
    /// No such fleet.
    #[snafu(display("no fleet is named {name}; there are thaali, harwick and target"))]
    UnknownFleet {
        /// What was given.
        name: String,
    },
    /// Placement went wrong.
    #[snafu(display("placement"))]
    Placement {
        /// How.
        source: PlacementError,
    },
    /// A histogram can't be made.
    #[snafu(display("histogram"))]
    Histogram {
        /// Why.
        source: hdrhistogram::CreationError,
    },
    /// The report can't be encoded.
    #[snafu(display("report"))]
    EncodeReport {
        /// Why.
        source: serde_json::Error,
    },
    /// The report can't be written.
    #[snafu(display("report"))]
    WriteReport {
        /// Why.
        source: std::io::Error,
    },
}
