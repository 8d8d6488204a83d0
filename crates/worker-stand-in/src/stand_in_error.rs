use crate::prelude::*;

/// Why stand-ins can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StandInError {
    /// The command line can't be read.
    #[snafu(display("command line: {source}"))]
    CommandLine { source: getopts::Fail },
    /// A flag's value, or the lack of it.
    #[snafu(display("--{flag} wants {wanted}"))]
    Flag { flag: &'static str, wanted: &'static str },
    /// The workers file can't be read.
    #[snafu(display("--workers: {path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// It is no list of workers.
    #[snafu(display("--workers: {path}: {source}"))]
    Workers { path: String, source: serde_json::Error },
    /// An address can't be listened on.
    #[snafu(display("{address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    /// The runtime can't start.
    #[snafu(display("runtime: {source}"))]
    Runtime { source: std::io::Error },
    /// Signals can't be awaited.
    #[snafu(display("{source}"))]
    Plumbing { source: process_plumbing::PlumbingError },
}
