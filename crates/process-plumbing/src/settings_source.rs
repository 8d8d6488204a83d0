use crate::prelude::*;

/// Where a process's settings come from, so that they can be read again.
#[derive(Clone, Debug)]
pub struct SettingsSource {
    program: &'static str,
    args: Vec<String>,
}

impl SettingsSource {
    /// The process's own command line.
    pub fn of_process(program: &'static str) -> Self {
        SettingsSource { program, args: std::env::args().skip(1).collect() }
    }

    /// A given command line.
    pub fn new(program: &'static str, args: Vec<String>) -> Self {
        SettingsSource { program, args }
    }

    /// Reads the settings; with faults, all of them go to stderr and the process ends with 2.
    pub fn read_or_exit<S: DeclaredSettings>(&self) -> S {
        settings_or_exit(self.program, &self.args)
    }

    /// Reads the settings at each SIGHUP and gives those that hold no faults; faults are told in the log, and what was in
    /// force goes on.
    pub fn changes<S: DeclaredSettings + Send + 'static>(&self) -> Result<impl Stream<Item = S> + Send + use<S>, PlumbingError> {
        let hangup = signal(SignalKind::hangup()).context(StartSnafu)?;
        let source = self.clone();
        let next = |(mut hangup, source): (Signal, SettingsSource)| async move {
            loop {
                hangup.recv().await?;
                match SettingsCommand::<S>::read(source.program, &source.args) {
                    Ok(SettingsCommand::Run(s)) => return Some((*s, (hangup, source))),
                    Ok(SettingsCommand::Help(_)) => {}
                    Err(e) => tracing::warn!(error = %e, "settings can't be read again: those in force go on"),
                }
            }
        };
        Ok(futures::stream::unfold((hangup, source), next))
    }
}
