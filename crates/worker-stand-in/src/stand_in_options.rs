use crate::prelude::*;

/// What the command line asks for.
#[derive(Debug)]
pub enum StandInCommand {
    /// Run these.
    Run(StandInOptions),
    /// Print this and end.
    Help(String),
}

/// What a process of stand-ins needs.
#[derive(Debug)]
pub struct StandInOptions {
    /// The workers.
    pub workers: Vec<WorkerIdentity>,
    /// HTTP addresses of gateways.
    pub gateways: Vec<String>,
    /// Where the fleet's own tools reach the process.
    pub control: SocketAddr,
    /// Seeds all chance.
    pub seed: u64,
}

impl StandInCommand {
    /// Reads the command line, without the program's name.
    ///
    /// ```
    /// use worker_stand_in::StandInCommand;
    /// let Ok(StandInCommand::Help(text)) = StandInCommand::read(&["--help".into()]) else { panic!() };
    /// assert!(text.contains("--workers FILE"));
    /// assert!(StandInCommand::read(&[]).is_err());
    /// ```
    pub fn read(args: &[String]) -> Result<Self, StandInError> {
        let mut o = Options::new();
        o.optopt("", "workers", "JSON list of workers: name, address, service, kind, rack, zone, cpu_millis, memory_mb, behaviour", "FILE");
        o.optmulti("", "gateway", "HTTP address of a gateway; may be repeated", "IP:PORT");
        o.optopt("", "control", "address for the fleet's own calls", "IP:PORT");
        o.optopt("", "seed", "seeds all chance (default 1)", "NUMBER");
        o.optflag("h", "help", "print this");
        let m = o.parse(args).context(CommandLineSnafu)?;
        if m.opt_present("help") {
            return Ok(StandInCommand::Help(o.usage("worker-stand-in: many stand-in workers in one process")));
        }
        let path = m.opt_str("workers").context(FlagSnafu { flag: "workers", wanted: "a file" })?;
        let text = std::fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        let workers = serde_json::from_str(&text).context(WorkersSnafu { path })?;
        let gateways = m.opt_strs("gateway");
        ensure!(!gateways.is_empty(), FlagSnafu { flag: "gateway", wanted: "at least one address" });
        let control = m.opt_str("control").and_then(|a| a.parse().ok()).context(FlagSnafu { flag: "control", wanted: "IP:PORT" })?;
        let seed = match m.opt_str("seed") {
            None => 1,
            Some(s) => s.parse().ok().context(FlagSnafu { flag: "seed", wanted: "a number" })?,
        };
        Ok(StandInCommand::Run(StandInOptions { workers, gateways, control, seed }))
    }
}
