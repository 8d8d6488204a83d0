use crate::prelude::*;

/// Why a fleet could not be laid out, started or judged.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum FleetError {
    /// A file or folder could not be used.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// A relay could not listen.
    #[snafu(display("relay at {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    /// A program could not be started.
    #[snafu(display("{}: can't be started: {source}", program.display()))]
    Spawn { program: PathBuf, source: io::Error },
    /// A program ended by itself.
    #[snafu(display("{name} ended by itself ({status}); see {}", log.display()))]
    Ended { name: String, status: String, log: PathBuf },
    /// A signal could not be sent.
    #[snafu(display("{name}: signal not sent: {source}"))]
    SignalNotSent { name: String, source: rustix::io::Errno },
    /// No deployment of that name.
    #[snafu(display("no deployment named {name}; known: {known}"))]
    UnknownDeployment { name: String, known: String },
    /// No scenario of that name.
    #[snafu(display("no scenario named {name}; known: {known}"))]
    UnknownScenario { name: String, known: String },
    /// A fault schedule has faults of its own.
    #[snafu(display("{}", faults.iter().map(|f| format!("{}: {}", f.path, f.problem)).collect::<Vec<_>>().join("\n")))]
    Schedule { faults: Vec<Fault> },
    /// A file holds no JSON of its shape.
    #[snafu(display("{}: {source}", path.display()))]
    Json { path: PathBuf, source: serde_json::Error },
    /// Nobody of that description is there.
    #[snafu(display("nobody answers to {whom}"))]
    NobodyThere { whom: String },
    /// A call got no usable answer.
    #[snafu(display("{url}: {problem}"))]
    Call { url: String, problem: String },
    /// The command line can't be read.
    #[snafu(display("{problem}"))]
    Usage { problem: String },
    /// Ended from outside.
    #[snafu(display("interrupted"))]
    Interrupted,
    /// The fleet did not serve in time.
    #[snafu(display("{what} did not happen within {within_s} s"))]
    NotInTime { what: String, within_s: u64 },
}

/// What most of this crate's functions answer.
pub type FleetResult<T> = Result<T, FleetError>;
