use crate::prelude::*;

/// What the command line asks for.
#[derive(Debug)]
pub enum FleetCommand {
    /// Run a deployment.
    Run(Box<RunOptions>),
    /// List the scenarios.
    Scenarios,
    /// Put reports side by side.
    Compare(Vec<PathBuf>, Vec<PathBuf>),
    /// Measure slopes, with the options of `capacity-slopes`.
    Slopes(Vec<String>),
    /// Print this.
    Help(String),
}

/// A run, as the command line states it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOptions {
    /// What is run.
    pub deployment: Deployment,
    /// The scenario's name, for the report.
    pub scenario: Name,
    /// The scenario's own figure.
    pub figure: Option<String>,
    /// The faults.
    pub faults: FaultSchedule,
    /// Seconds of load.
    pub seconds: f64,
    /// The load.
    pub load: LoadOptions,
    /// Where `scheduler`, `gateway`, `worker-stand-in` and `caller-stand-in` are.
    pub bin_folder: PathBuf,
    /// Where the run's files go; a folder of its own, removed at the end, when absent.
    pub folder: Option<PathBuf>,
    /// Where the report goes.
    pub report: Option<PathBuf>,
    /// Second number of all addresses.
    pub net: u8,
    /// Most seconds to wait for running tasks to end after the load.
    pub settle_s: f64,
    /// Accepted jobs that are read again at the end.
    pub final_reads: usize,
}

impl RunOptions {
    /// Where the run's files go: the folder asked for, or one named after this process.
    pub fn run_folder(&self) -> PathBuf {
        self.folder.clone().unwrap_or_else(|| std::env::temp_dir().join(format!("fleet-{}", std::process::id())))
    }
}

/// Exit status of a run in which a rule was broken.
pub const EXIT_BROKEN: u8 = 1;
/// Exit status of a command line that can't be read.
pub const EXIT_USAGE: u8 = 2;
/// Exit status of a fleet that could not start or be judged.
pub const EXIT_NOT_STARTED: u8 = 3;

/// Seconds of load of a soak, where the command line says none.
const SOAK_S: f64 = 25.0;
/// First of the second numbers of addresses, and how many there are.
const NETS: (u8, u32) = (16, 200);

fn options() -> Options {
    let mut o = Options::new();
    o.optopt("", "scenario", "faults of a named scenario; see `fleet scenarios`", "NAME");
    o.optopt("", "faults", "faults from a JSON file", "FILE");
    o.optflag("", "leased", "workers run work only while their lease lasts");
    o.optflag("", "soak", "signals, restarts, cuts and changes in series that overlap, drawn from the seed");
    o.optopt("", "for", "seconds of load (default: the scenario's, else 30)", "SECONDS");
    o.optopt("", "seed", "all chance of the load and the faults comes from it (default 1)", "N");
    o.optopt("", "schedulers", "so many schedulers instead of the deployment's", "N");
    o.optopt("", "gateways", "so many gateways instead of the deployment's", "N");
    o.optopt("", "rate", "times the deployment's usual rate (default 1)", "F");
    o.optopt("", "report", "the report as JSON", "FILE");
    o.optopt("", "folder", "keep the run's files here (default: a folder of its own that is removed)", "DIR");
    o.optopt("", "bin-folder", "where the daemons and stand-ins are (default: beside this program)", "DIR");
    o.optopt("", "net", "second number of all addresses, 127.N.x.y (default: by process id)", "N");
    o.optopt("", "settle", "most seconds to wait for running tasks after the load (default 20)", "SECONDS");
    o.optopt("", "final-reads", "accepted jobs to read again at the end (default 400)", "N");
    o.optmulti("", "caller", "a further argument for the callers' process, such as --caller=--cancel-share=0.2", "ARG");
    o.optopt("", "change-every", "operators: milliseconds between changes; 0: none (default 10000)", "MS");
    o.optopt("", "drain-every", "operators: milliseconds between drains; 0: none (default 20000)", "MS");
    o.optopt("", "evacuate-every", "operators: milliseconds between evacuations; 0: none (default 0)", "MS");
    o.optflag("h", "help", "print this");
    o
}

/// What is said about usage.
fn usage() -> String {
    options().usage(&format!(
        "fleet DEPLOYMENT [options]      runs {}\nfleet scenarios                 lists the scenarios\nfleet compare A.json[,..] B.json[,..]  puts reports side by side\nfleet slopes [options]          measures cost against size (options: fleet slopes --help)",
        Deployment::NAMES.join(", ")
    ))
}

fn wrong(problem: impl Into<String>) -> FleetError {
    FleetError::Usage { problem: problem.into() }
}

impl FleetCommand {
    /// Reads a command line, without the program's name.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let line = ["harwick", "--scenario", "leader-killed", "--seed", "7"].map(str::to_owned);
    /// let FleetCommand::Run(r) = FleetCommand::read(&line).unwrap() else { panic!() };
    /// assert_eq!((r.load.seed, r.faults.events.len(), r.scenario.as_str()), (7, 1, "leader-killed"));
    /// ```
    pub fn read(line: &[String]) -> FleetResult<FleetCommand> {
        // Its options are its own: the program beside this one reads them.
        if let Some(("slopes", rest)) = line.split_first().map(|(w, rest)| (w.as_str(), rest)) {
            return Ok(FleetCommand::Slopes(rest.to_vec()));
        }
        let m = options().parse(line).map_err(|e| wrong(format!("{e}\n{}", usage())))?;
        if m.opt_present("help") {
            return Ok(FleetCommand::Help(usage()));
        }
        match m.free.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
            ["scenarios"] => Ok(FleetCommand::Scenarios),
            ["compare", a, b] => {
                let list = |s: &str| s.split(',').filter(|p| !p.is_empty()).map(PathBuf::from).collect();
                Ok(FleetCommand::Compare(list(a), list(b)))
            }
            [deployment] => read_run(deployment, &m).map(|r| FleetCommand::Run(Box::new(r))),
            _ => Err(wrong(usage())),
        }
    }
}

/// A value of an option, or its default.
fn value<T: FromStr + PartialOrd + Default>(m: &getopts::Matches, name: &str, default: T) -> FleetResult<T> {
    match m.opt_str(name) {
        None => Ok(default),
        Some(s) => match s.parse() {
            Ok(v) if v >= T::default() => Ok(v),
            _ => Err(wrong(format!("--{name}: {s:?} is no number of its kind"))),
        },
    }
}

fn read_run(deployment: &str, m: &getopts::Matches) -> FleetResult<RunOptions> {
    let mut deployment = Deployment::named(deployment)?;
    deployment.schedulers = value(m, "schedulers", deployment.schedulers)?.max(1);
    deployment.leased = m.opt_present("leased");
    deployment.gateways = value(m, "gateways", deployment.gateways)?.max(1);
    let (scenario, figure, seconds, faults) = match (m.opt_str("scenario"), m.opt_str("faults")) {
        (None, None) if m.opt_present("soak") => {
            let seconds = value(m, "for", SOAK_S)?;
            ("soak".to_owned(), None, seconds, soak_schedule(value(m, "seed", 1)?, &deployment, seconds))
        }
        _ if m.opt_present("soak") => return Err(wrong("--soak draws its own faults")),
        (Some(_), Some(_)) => return Err(wrong("--scenario and --faults can't go together")),
        (Some(name), None) => {
            let s = Scenario::named(&name)?;
            let faults = s.schedule(&deployment)?;
            (s.name, Some(s.figure), s.seconds, faults)
        }
        (None, Some(file)) => {
            let faults = FaultSchedule::from_file(Path::new(&file))?;
            ("file".to_owned(), None, (faults.ends_s() + 20.0).max(30.0), faults)
        }
        (None, None) => ("none".to_owned(), None, 30.0, FaultSchedule::default()),
    };
    let mut extra: Vec<String> = m.opt_strs("caller");
    for (name, default) in [("change-every", 10_000), ("drain-every", 20_000), ("evacuate-every", 0)] {
        extra.extend([format!("--{name}"), value::<u64>(m, name, default)?.to_string()]);
    }
    let beside = || std::env::current_exe().ok().and_then(|p| p.parent().map(Path::to_owned)).unwrap_or_default();
    let own_net = NETS.0 + (std::process::id() % NETS.1) as u8;
    Ok(RunOptions {
        deployment,
        scenario,
        figure,
        faults,
        seconds: value(m, "for", seconds)?,
        load: LoadOptions { seed: value(m, "seed", 1)?, rate: value(m, "rate", 1.0)?, extra },
        bin_folder: m.opt_str("bin-folder").map_or_else(beside, PathBuf::from),
        folder: m.opt_str("folder").map(PathBuf::from),
        report: m.opt_str("report").map(PathBuf::from),
        net: value(m, "net", own_net)?,
        settle_s: value(m, "settle", 20.0)?,
        final_reads: value(m, "final-reads", 400)?,
    })
}
