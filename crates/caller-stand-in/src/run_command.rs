use crate::prelude::*;

/// What the command line says.
#[derive(Clone, Debug)]
pub struct RunCommand {
    /// The run.
    pub settings: RunSettings,
    /// How long; absent: until it is ended from outside.
    pub seconds: Option<u64>,
    /// Where the control pages are served.
    pub control: Option<SocketAddr>,
}

/// Why nothing runs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RunError {
    /// The command line can't be read.
    #[snafu(display("{source}"))]
    CommandLine { source: getopts::Fail },
    /// A value can't be read.
    #[snafu(display("--{option}: {text:?} can't be read"))]
    Value { option: &'static str, text: String },
    /// A value is missing.
    #[snafu(display("--{option} is missing"))]
    Missing { option: &'static str },
    /// The control pages can't be served.
    #[snafu(display("control pages at {address}: {source}"))]
    Listen { address: SocketAddr, source: std::io::Error },
    /// Help was asked for.
    #[snafu(display("{text}"))]
    Help { text: String },
}

/// One option: name, hint (empty: a switch), what it does.
type OptionLine = (&'static str, &'static str, &'static str);

/// All options.
const OPTIONS: &[OptionLine] = &[
    ("profile", "P", "thaali, harwick or target"),
    ("gateways", "A,B,C", "addresses of gateways, IP:PORT"),
    ("seed", "N", "all chance comes from it (default 1)"),
    ("for", "SECONDS", "end after this time"),
    ("rate", "F", "times the profile's rate (default 1)"),
    ("time-scale", "F", "times the profile's run times (default 1)"),
    ("budget", "MS", "a caller's time budget (default 4000)"),
    ("urgent-share", "F", "share of jobs that take their queue's whole urgency"),
    ("timed-share", "F", "share of jobs not to start before a time"),
    ("impossible-share", "F", "share of jobs that can never be done"),
    ("cancel-share", "F", "share of jobs cancelled early on"),
    ("failing-share", "F", "share of jobs whose last step always fails"),
    ("poll-share", "F", "share of jobs read until they are final"),
    ("running-tasks", "N", "profile target: tasks that run at once (default 8200)"),
    ("operators", "", "operators too: changes, races, evacuations, drains"),
    ("change-every", "MS", "operators: pause between changes; 0: none"),
    ("evacuate-every", "MS", "operators: pause between evacuations; 0: none"),
    ("drain-every", "MS", "operators: pause between drains; 0: none"),
    ("added-queues", "N", "operators: queues that changes add one by one"),
    ("zones", "R:Z,Z;R:Z", "regions with their zones, where they differ from the profile's"),
    ("control", "IP:PORT", "where the control pages are served"),
    ("bind", "IP", "sockets are bound to it"),
    ("epoch", "UNIX_MS", "the record's clock is 0 then (default: at the start)"),
    ("help", "", "print this help"),
];

/// Reads an option, where it is given.
fn value<V: std::str::FromStr>(m: &Matches, option: &'static str) -> Result<Option<V>, RunError> {
    m.opt_str(option).map(|text| text.parse().map_err(|_| RunError::Value { option, text })).transpose()
}

/// Puts an option's value in place, where it is given.
fn set<V: std::str::FromStr>(m: &Matches, option: &'static str, place: &mut V) -> Result<(), RunError> {
    if let Some(v) = value(m, option)? {
        *place = v;
    }
    Ok(())
}

impl RunCommand {
    /// Reads a command line, without the program's name. `unix_ms` is the time now.
    ///
    /// ```
    /// use caller_stand_in::RunCommand;
    /// let line = ["--profile", "thaali", "--gateways", "127.0.0.1:8001", "--rate", "0.5", "--for", "9"].map(str::to_owned);
    /// let c = RunCommand::read(&line, 0).unwrap();
    /// assert_eq!((c.settings.callers.rate, c.seconds), (0.5, Some(9)));
    /// ```
    pub fn read(line: &[String], unix_ms: u64) -> Result<Self, RunError> {
        let mut o = Options::new();
        for (name, hint, about) in OPTIONS {
            if hint.is_empty() {
                o.optflag("", name, about)
            } else {
                o.optopt("", name, about, hint)
            };
        }
        let m = o.parse(line).context(CommandLineSnafu)?;
        if m.opt_present("help") {
            return Err(RunError::Help { text: o.usage("caller-stand-in --profile P --gateways A,B,C [options]") });
        }
        let text = |option: &'static str| m.opt_str(option).ok_or(RunError::Missing { option });
        let word = text("profile")?;
        let profile = Profile::named(&word).ok_or(RunError::Value { option: "profile", text: word })?;
        let gateways: Vec<Name> = text("gateways")?.split(',').map(str::to_owned).filter(|g| !g.is_empty()).collect();
        ensure!(!gateways.is_empty(), MissingSnafu { option: "gateways" });
        let mut callers = CallerSettings::new(profile, gateways.clone(), value(&m, "seed")?.unwrap_or(1));
        set(&m, "rate", &mut callers.rate)?;
        set(&m, "time-scale", &mut callers.time_scale)?;
        set(&m, "budget", &mut callers.time_budget_ms)?;
        set(&m, "running-tasks", &mut callers.running_tasks)?;
        let shares = [
            ("urgent-share", &mut callers.urgent_share),
            ("timed-share", &mut callers.timed_share),
            ("impossible-share", &mut callers.impossible_share),
            ("cancel-share", &mut callers.cancel_share),
            ("failing-share", &mut callers.failing_share),
            ("poll-share", &mut callers.poll_share),
        ];
        for (option, place) in shares {
            set(&m, option, place)?;
            let text = place.to_string();
            ensure!((0.0..=1.0).contains(place), ValueSnafu { option, text });
        }
        let mut operators = OperatorSettings::new(profile, gateways, callers.seed);
        set(&m, "change-every", &mut operators.change_every_ms)?;
        set(&m, "evacuate-every", &mut operators.evacuate_every_ms)?;
        set(&m, "drain-every", &mut operators.drain_every_ms)?;
        set(&m, "added-queues", &mut operators.most_added_queues)?;
        if let Some(text) = m.opt_str("zones") {
            let region = |part: &str| part.split_once(':').map(|(r, z)| (r.to_owned(), z.split(',').map(str::to_owned).collect()));
            operators.regions =
                text.split(';').map(region).collect::<Option<Regions>>().ok_or(RunError::Value { option: "zones", text })?;
        }
        let operators = m.opt_present("operators").then_some(operators);
        let epoch_unix_ms = value(&m, "epoch")?.unwrap_or(unix_ms);
        let settings = RunSettings { callers, operators, bind: value(&m, "bind")?, epoch_unix_ms };
        Ok(RunCommand { settings, seconds: value(&m, "for")?, control: value(&m, "control")? })
    }
}
