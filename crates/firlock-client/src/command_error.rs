use crate::prelude::*;

/// How the tool ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done; for the doctor: nothing found.
    Ok,
    /// A call was answered with an error, or a job did not succeed; for the doctor: something found.
    Error,
    /// The command line or a file of it is wrong.
    Usage,
    /// No gateway could be reached.
    Unreachable,
}

impl ExitCode {
    /// Its number.
    pub fn number(self) -> u8 {
        match self {
            ExitCode::Ok => 0,
            ExitCode::Error => 1,
            ExitCode::Usage => 2,
            ExitCode::Unreachable => 3,
        }
    }
}

/// Why a command did not do what it should.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// No such subcommand.
    #[snafu(display("there is no subcommand {name:?}; firlock --help lists them"))]
    Unknown { name: String },
    /// An option is wrong.
    #[snafu(display("{source}"))]
    Option { source: getopts::Fail },
    /// Arguments are missing or too many.
    #[snafu(display("usage: firlock {usage}"))]
    Arguments { usage: String },
    /// A value can't be read.
    #[snafu(display("{text:?} is no {wanted}"))]
    Value { text: String, wanted: String },
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// A file holds other JSON than wanted.
    #[snafu(display("{path}: {source}"))]
    Json { path: String, source: serde_json::Error },
    /// A tree has faults.
    #[snafu(display("{path} has faults:\n{}", faults.iter().map(|f| format!("  {}: {}", f.path, f.problem)).collect::<Vec<_>>().join("\n")))]
    Faults { path: String, faults: Vec<Fault> },
    /// A patch doesn't fit.
    #[snafu(display("{path}: {source}"))]
    Patch { path: String, source: declared_settings::prelude::PatchFault },
    /// Output can't be written.
    #[snafu(display("output: {source}"))]
    Output { source: std::io::Error },
    /// A call failed.
    #[snafu(display("{source}"))]
    Client { source: ClientError },
}

impl From<std::io::Error> for CommandError {
    fn from(source: std::io::Error) -> Self {
        CommandError::Output { source }
    }
}

impl From<ClientError> for CommandError {
    fn from(source: ClientError) -> Self {
        CommandError::Client { source }
    }
}

impl CommandError {
    /// How the tool ends with it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Client { source: ClientError::NoGateways } => ExitCode::Usage,
            CommandError::Client { source: ClientError::Unreachable { .. } } => ExitCode::Unreachable,
            CommandError::Client { .. } | CommandError::Output { .. } | CommandError::Patch { .. } | CommandError::Faults { .. } => {
                ExitCode::Error
            }
            _ => ExitCode::Usage,
        }
    }

    /// What the person at the keyboard may do about it.
    pub fn advice(&self) -> Option<&'static str> {
        match self {
            CommandError::Client { source } => match source {
                ClientError::NoGateways => Some("name gateways with --gateways IP:PORT,IP:PORT or in FIRLOCK_GATEWAYS"),
                ClientError::Unreachable { .. } => Some("see whether the addresses are right and any of those machines is up"),
                ClientError::Unreadable { .. } => Some("see whether that address is a gateway of this version"),
                ClientError::Answered { error } => match error {
                    CallError::RacedBase { .. } => {
                        Some("another change came first: get the configuration, make your change on it, and put that")
                    }
                    CallError::NoLeader { .. } => Some("firlock doctor says which schedulers are missing"),
                    CallError::TimeBudgetSpent { .. } => {
                        Some("send the very same once more: if it was done, it is only acknowledged again")
                    }
                    CallError::Conflict { .. } => Some("use another name, or send the same content as before"),
                    CallError::Shed { .. } => Some("come back later; urgent queues are shed last"),
                    _ => None,
                },
            },
            _ => None,
        }
    }
}
