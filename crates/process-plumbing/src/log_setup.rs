use crate::prelude::*;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = PlumbingError;

    fn from_str(s: &str) -> Result<Self, PlumbingError> {
        match s {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => UnknownLogFormatSnafu { format: s }.fail(),
        }
    }
}

/// What only speaks of single channels: those are counted, not told.
const QUIET: &str = "viz=off,hyper=off,hyper_util=off";

/// Sends the log lines (changes of state only; counts go to metrics) to stderr. Once a process.
pub fn init_logs(format: LogFormat, level: &str) -> Result<(), PlumbingError> {
    let filter = EnvFilter::try_new(format!("{level},{QUIET}")).context(LogLevelSnafu { level })?;
    let b = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Text => b.with_ansi(false).finish().try_init(),
        LogFormat::Json => b.json().flatten_event(true).finish().try_init(),
    }
    .context(LogInstallSnafu)
}
