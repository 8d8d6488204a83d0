use crate::prelude::*;

/// Runs a subcommand.
pub type CommandFn = for<'a, 's> fn(&'a mut Session<'s>) -> LocalBoxFuture<'a, CommandResult>;

/// One option: name, hint of its value (empty: a switch), and what it does.
pub type OptionLine = (&'static str, &'static str, &'static str);

/// One subcommand: this table drives help and dispatch alike.
pub struct Subcommand {
    /// Its name.
    pub name: &'static str,
    /// Its arguments.
    pub usage: &'static str,
    /// What it does.
    pub about: &'static str,
    /// Its own options.
    pub options: &'static [OptionLine],
    /// An example.
    pub example: &'static str,
    /// What it runs.
    pub run: CommandFn,
}

/// Options that each subcommand takes.
pub const COMMON: &[OptionLine] = &[
    ("gateways", "A,B,C", "addresses of gateways, IP:PORT (default: the environment's FIRLOCK_GATEWAYS)"),
    ("budget", "MS", "time budget of each call with its retries (default 5000, at most 60000)"),
    ("json", "", "print JSON"),
    ("help", "", "print this help"),
];

impl Subcommand {
    /// Finds one by name.
    pub fn named(name: &str) -> Option<&'static Subcommand> {
        COMMANDS.iter().find(|c| c.name == name)
    }

    /// Its options, as `getopts` reads them.
    pub fn getopts(&self) -> Options {
        let mut o = Options::new();
        for (name, hint, about) in self.options.iter().chain(COMMON) {
            if hint.is_empty() {
                o.optflag("", name, about)
            } else {
                o.optopt("", name, about, hint)
            };
        }
        o
    }

    /// Its help page.
    pub fn help(&self) -> String {
        let brief = format!("firlock {}\n\n{}", self.usage, self.about);
        format!("{}\nExample:\n    {}\n\n{EXIT_CODES}", self.getopts().usage(&brief), self.example)
    }
}

/// What the exit codes mean.
pub const EXIT_CODES: &str =
    "Exit codes: 0 done, 1 answered with an error (doctor: something found), 2 wrong usage, 3 no gateway reachable.\n";

/// Help over all subcommands.
pub fn overview() -> String {
    let mut t = TextTable::default();
    for c in COMMANDS {
        t.row([format!("    {}", c.usage), c.about.to_owned()]);
    }
    format!(
        "firlock: drives a firlock cluster through its gateways.\n\nSubcommands:\n{t}\nEach takes --help, --json, --gateways A,B,C (or FIRLOCK_GATEWAYS) and --budget MS.\n{EXIT_CODES}"
    )
}

/// Declares the subcommands.
macro_rules! subcommands {
    ($($name:literal, $usage:literal, $about:literal, [$($option:expr),*], $example:literal => $run:path;)+) => {
        /// All subcommands.
        pub static COMMANDS: &[Subcommand] = &[$(
            Subcommand { name: $name, usage: $usage, about: $about, options: &[$($option),*], example: $example, run: |s| Box::pin($run(s)) },
        )+];
    };
}

subcommands! {
    "submit", "submit FILE|-", "Submits one job, or a JSON array of jobs. The same name and content twice is one job.",
        [("wait", "", "wait until each job is final; exit 1 unless all succeeded"), ("every", "MS", "with --wait: time between looks (default 500)")],
        "firlock submit --wait hold.json" => submit;
    "status", "status JOB", "Shows a job with its steps and the attempts that are out.", [], "firlock status hold-7" => status;
    "watch", "watch JOB", "Prints a job's state at each change, until it is final; exit 1 unless it succeeded.",
        [("every", "MS", "time between looks (default 500)")], "firlock watch hold-7" => watch;
    "cancel", "cancel JOB", "Cancels a job: none of its tasks starts any more.", [], "firlock cancel menu-refresh-3" => cancel;
    "list", "list", "Lists jobs by number.",
        [("queue", "Q", "only this queue"), ("state", "S", "only this state: waiting, running, cancelling, succeeded, failed or cancelled"),
         ("limit", "N", "at most this many (default 100)"), ("after", "N", "only numbers above this")],
        "firlock list --queue table-holds --state waiting --limit 20" => list;
    "why", "why JOB", "Says what a job waits for.", [], "firlock why seating-plan-12" => why;
    "workers", "workers", "Lists workers with their room, use and lifetime band.", [("zone", "Z", "only this zone")], "firlock workers --zone z1" => workers;
    "drain", "drain WORKER", "Drains a worker: running tasks end, none starts.", [("off", "", "end the drain"), ("order-id", "ID", "your id of the order, to send it again after a lost answer")], "firlock drain w-07" => drain;
    "remove", "remove WORKER", "Forgets a worker on which nothing runs.",
        [("declare-lost", "", "you vouch that the machine is gone for good: its tasks are tried elsewhere, and would run twice if it were not")],
        "firlock remove w-07" => remove;
    "evacuate", "evacuate ZONE", "Evacuates a zone: no task starts in it.",
        [("off", "", "use it again"), ("order-id", "ID", "your id of the order, to send it again after a lost answer")],
        "firlock evacuate z2 --order-id ev-2026-03" => evacuate;
    "config", "config get | put FILE | diff FILE | history | effective ZONE QUEUE | plan FILE",
        "Reads and changes the configuration. FILE is a tree or what `get --json` printed; for plan a tree or a JSON Patch.",
        [("base", "VERSION", "put, plan --apply: the version it is built on (default: FILE's, or the one in force)"),
         ("change-id", "ID", "put, plan --apply: your id of the change, to send it again after a lost answer"),
         ("apply", "", "plan: put the planned tree in force"), ("limit", "N", "history: at most this many (default 20)")],
        "firlock config put tree.json --base 12 --change-id more-holds" => config;
    "queues", "queues", "Lists queues by zone with their use and limits.", [], "firlock queues" => queues;
    "members", "members [remove ID | lead ID]", "Lists the schedulers, removes one for good, or hands leadership to one.", [], "firlock members lead 3" => members;
    "gateways", "gateways", "Lists the gateways as the elected scheduler sees them.", [], "firlock gateways" => gateways;
    "cluster", "cluster", "Shows the elected scheduler's own view.", [], "firlock cluster" => cluster;
    "doctor", "doctor", "Looks for common faults: what was found, what it means, what to do.",
        [("memory-mb", "MB", "memory that a daemon may take (default 512)")], "firlock doctor --gateways 127.0.0.1:8001,127.0.0.2:8001" => doctor;
}
