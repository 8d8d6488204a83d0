use crate::prelude::*;

/// Why a daemon's plumbing can't do what it was told.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlumbingError {
    /// No address can be read from a text.
    #[snafu(display("{text:?} is no address of IP number and port"))]
    Address { text: String, source: std::net::AddrParseError },
    /// A listener can't be had.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    /// An incoming channel can't be taken.
    #[snafu(display("can't take a channel: {source}"))]
    Accept { source: std::io::Error },
    /// A channel can't be opened.
    #[snafu(display("can't dial {address}: {source}"))]
    Dial { address: SocketAddr, source: std::io::Error },
    /// The other side took too long.
    #[snafu(display("{address} did not answer within {budget:?}"))]
    Slow { address: SocketAddr, budget: Duration },
    /// A channel broke.
    #[snafu(display("channel broke: {source}"))]
    Broken { source: std::io::Error },
    /// The inbox of a channel's writer is full: the channel is dropped.
    #[snafu(display("channel's inbox is full; it is dropped"))]
    InboxFull,
    /// The channel is gone.
    #[snafu(display("channel is closed"))]
    Closed,
    /// No metrics recorder can be installed.
    #[snafu(display("no metrics recorder: {source}"))]
    Recorder { source: BuildError },
    /// No log filter can be read.
    #[snafu(display("log level {level:?}: {source}"))]
    LogLevel { level: String, source: ParseError },
    /// A log format of another name.
    #[snafu(display("log format {format:?}: wants text or json"))]
    UnknownLogFormat { format: String },
    /// Logs are installed already.
    #[snafu(display("logs: {source}"))]
    LogInstall { source: tracing_subscriber::util::TryInitError },
    /// No runtime or signal handler can be had.
    #[snafu(display("runtime: {source}"))]
    Start { source: std::io::Error },
}

/// Reads an address of IP number and port.
///
/// ```
/// use process_plumbing::parse_address;
/// assert_eq!(parse_address("127.1.0.2:70").unwrap().port(), 70);
/// assert!(parse_address("here").is_err());
/// ```
pub fn parse_address(text: &str) -> Result<SocketAddr, PlumbingError> {
    text.parse().context(AddressSnafu { text })
}
