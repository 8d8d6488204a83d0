use crate::prelude::*;

/// Exit status of a process whose settings have faults.
const BAD_SETTINGS: i32 = 2;

/// What a daemon's command line says.
#[derive(Debug, PartialEq)]
pub enum SettingsCommand<S> {
    /// Run with these.
    Run(Box<S>),
    /// Print this and end.
    Help(String),
}

/// Why there are no settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The command line can't be read.
    #[snafu(display("command line: {source}"))]
    CommandLine { source: getopts::Fail },
    /// Words that are no flags.
    #[snafu(display("command line: {word:?} is no flag"))]
    Word { word: String },
    /// The file can't be read.
    #[snafu(display("--settings: {path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// The file holds no JSON.
    #[snafu(display("--settings: {path}: {source}"))]
    Json { path: String, source: serde_json::Error },
    /// Settings with faults, each with its path.
    #[snafu(display("{source}"))]
    Faults { source: SettingFaults },
}

impl<S: DeclaredSettings> SettingsCommand<S> {
    /// Reads `--settings FILE` and one flag for each setting, which override the file.
    ///
    /// ```
    /// use process_plumbing::{DaemonSettings, SettingsCommand};
    /// let args = |s: &str| s.split(' ').map(str::to_owned).collect::<Vec<_>>();
    /// let c = SettingsCommand::<DaemonSettings>::read("gateway", &args("--node-name g1 --zone z2"));
    /// let Ok(SettingsCommand::Run(s)) = c else { panic!("{c:?}") };
    /// assert_eq!((s.node_name.as_str(), s.zone.as_str()), ("g1", "z2"));
    /// let e = SettingsCommand::<DaemonSettings>::read("gateway", &args("--listen-http here")).unwrap_err();
    /// assert!(e.to_string().contains("--listen-http"));
    /// ```
    pub fn read(program: &str, args: &[String]) -> Result<Self, SettingsError> {
        let mut o = Options::new();
        o.optopt("", "settings", "JSON file with the settings; flags override it", "FILE");
        o.optflag("h", "help", "print this");
        S::options(&mut o);
        let m = o.parse(args).context(CommandLineSnafu)?;
        if m.opt_present("help") {
            return Ok(SettingsCommand::Help(o.usage(&format!("{program}: {}", S::about()))));
        }
        if let Some(word) = m.free.first() {
            return WordSnafu { word }.fail();
        }
        let file = match m.opt_str("settings") {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
                Some(serde_json::from_str(&text).context(JsonSnafu { path })?)
            }
        };
        let s = S::load(file.as_ref(), Some(&m)).context(FaultsSnafu)?;
        Ok(SettingsCommand::Run(Box::new(s)))
    }
}

/// Settings from a command line; with faults, all of them go to stderr and the process ends with 2.
pub fn settings_or_exit<S: DeclaredSettings>(program: &str, args: &[String]) -> S {
    match SettingsCommand::read(program, args) {
        Ok(SettingsCommand::Run(s)) => *s,
        Ok(SettingsCommand::Help(text)) => {
            println!("{text}");
            std::process::exit(0)
        }
        Err(e) => {
            eprintln!("{e}");
            std::process::exit(BAD_SETTINGS)
        }
    }
}
