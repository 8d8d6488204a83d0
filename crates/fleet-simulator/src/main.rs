//! Runs seeds: `cargo run -p fleet-simulator -- --help`.

use fleet_simulator::prelude::*;

/// What the command line asked for.
struct Asked {
    first: u64,
    count: u64,
    faults: usize,
    threads: u64,
    kind: Kind,
    verbose: bool,
    timing: bool,
}

/// What kind of run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Plain,
    Leased,
    Gangs,
    FullLog,
    CutLists,
    Queues,
}

impl Kind {
    /// The kinds with their options on the command line.
    const OPTIONS: [(Kind, &str, &str); 5] = [
        (Kind::Leased, "leased", "workers take leases; orders come late, and gateways stand still or are cut off"),
        (Kind::Gangs, "gangs", "gangs that end together, torn as they end; takes no faults"),
        (Kind::FullLog, "full-log", "as leased, with a log that refuses batches, and handovers"),
        (Kind::Queues, "queues", "operators take queues out of the tree and put them in again"),
        (Kind::CutLists, "cut-lists", "as leased, with short tasks at workers that list few ends at once"),
    ];

    fn of(matches: &getopts::Matches) -> Kind {
        Self::OPTIONS.iter().find(|(_, option, _)| matches.opt_present(option)).map_or(Kind::Plain, |found| found.0)
    }

    /// Its option, to be asked for again.
    fn option(self) -> String {
        Self::OPTIONS.iter().find(|found| found.0 == self).map(|found| format!(" --{}", found.1)).unwrap_or_default()
    }

    fn settings(self, seed: u64, faults: usize) -> SimulationSettings {
        match (self, faults) {
            (Kind::Gangs, _) => SimulationSettings::gangs_that_end_together(seed),
            (Kind::FullLog, _) => SimulationSettings::full_log(seed, faults),
            (Kind::Queues, _) => SimulationSettings::queues_out_and_in(seed, faults),
            (Kind::CutLists, _) => SimulationSettings::cut_lists(seed, faults),
            (Kind::Leased, _) => SimulationSettings::leased_chaos(seed, faults),
            (Kind::Plain, 0) => SimulationSettings::new(seed),
            (Kind::Plain, _) => SimulationSettings::chaos(seed, faults),
        }
    }
}

fn main() {
    let mut o = getopts::Options::new();
    o.optopt("", "seed", "first seed (1)", "N");
    o.optopt("", "seeds", "how many seeds (1)", "N");
    o.optopt("", "faults", "faults in each run (8); 0 for none", "N");
    o.optopt("", "threads", "threads (1)", "N");
    for (_, option, what) in Kind::OPTIONS {
        o.optflag("", option, what);
    }
    o.optflag("", "scenarios", "list the named scenarios");
    o.optopt("", "scenario", "run a named scenario instead, or `all`: prints the worst figures over the seeds", "NAME");
    o.optflag("", "timing", "print each seed's events and wall time as it ends");
    o.optflag("v", "verbose", "print faults and elections as they happen");
    o.optflag("h", "help", "print this");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let m = match o.parse(&args) {
        Ok(m) if m.opt_present("help") => {
            println!("{}", o.usage("fleet-simulator: whole fleets in simulated time, from seeds. Exit 1 on a violation.\nExamples: fleet-simulator --seed 1 --seeds 500 --threads 4\n          fleet-simulator --scenario leader-crash --seeds 20"));
            return;
        }
        Ok(m) => m,
        Err(e) => {
            eprintln!("{e}");
            std::process::exit(2);
        }
    };
    if m.opt_present("scenarios") {
        for s in scenarios() {
            println!("{:<28}{:<15}{}", s.name, s.group, s.fault);
        }
        return;
    }
    let number = |name: &str, default: u64| match m.opt_get_default(name, default) {
        Ok(n) => n,
        Err(e) => {
            eprintln!("--{name}: {e}");
            std::process::exit(2);
        }
    };
    let asked = Asked {
        first: number("seed", 1),
        count: number("seeds", 1),
        faults: number("faults", 8) as usize,
        threads: number("threads", 1).max(1),
        kind: Kind::of(&m),
        verbose: m.opt_present("verbose"),
        timing: m.opt_present("timing"),
    };
    let broken = match m.opt_str("scenario") {
        None => chaos(&asked),
        Some(name) => {
            let named: Vec<Scenario> = scenarios().into_iter().filter(|s| name == "all" || s.name == name).collect();
            if named.is_empty() {
                eprintln!("--scenario: {name} is none; --scenarios lists them");
                std::process::exit(2);
            }
            println!("{}", WorstFigures::HEAD);
            named.iter().map(|s| worst(&asked, s)).sum()
        }
    };
    if broken > 0 {
        std::process::exit(1);
    }
}

/// Runs each seed on one of the threads; what broke is printed as it ends.
fn run_all(
    asked: &Asked,
    settings: impl Fn(u64) -> SimulationSettings + Sync,
    describe: impl Fn(&SimulationOutcome) -> Option<String> + Sync,
) -> Vec<SimulationOutcome> {
    let run = |seed: u64| {
        let mut s = Simulation::new(settings(seed));
        s.verbose = asked.verbose;
        let began = std::time::Instant::now();
        let o = s.run();
        if asked.timing {
            println!("seed {seed}: {} events, {} ms", o.events, began.elapsed().as_millis());
        }
        if let Some(d) = describe(&o) {
            println!("{d}");
        }
        if asked.verbose {
            println!("{:#?}", o.verdict.figures);
        }
        o
    };
    let seeds = asked.first..asked.first + asked.count;
    let run = &run;
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..asked.threads)
            .map(|t| {
                let mine = seeds.clone().filter(move |s| s % asked.threads == t);
                scope.spawn(move || mine.map(run).collect::<Vec<_>>())
            })
            .collect();
        handles.into_iter().flat_map(|h| h.join().unwrap_or_else(|p| std::panic::resume_unwind(p))).collect()
    })
}

/// Seeds with faults drawn from them: how many broke a rule.
fn chaos(asked: &Asked) -> usize {
    let settings = |seed| asked.kind.settings(seed, asked.faults);
    let option = asked.kind.option();
    let again = |o: &SimulationOutcome| (!o.is_clean()).then(|| format!("{} --faults {}{option}", o.describe(), asked.faults));
    let all = run_all(asked, settings, again);
    let broken = all.iter().filter(|o| !o.is_clean()).count();
    let left = all.iter().filter(|o| o.attempts_left > 0).count();
    let (accepted, events) = all.iter().fold((0, 0), |s, o| (s.0 + o.accepted, s.1 + o.events));
    println!("{} seeds, {broken} with violations, {left} with attempts left; {accepted} jobs accepted, {events} events", all.len());
    broken
}

/// A scenario over the seeds: how many broke a rule or a bound.
fn worst(asked: &Asked, scenario: &Scenario) -> usize {
    let bad = |o: &SimulationOutcome| !o.is_clean() || scenario.slow(o).is_some();
    let all = run_all(asked, |seed| scenario.settings(seed), |o| bad(o).then(|| scenario.describe(o)));
    for profile in [Profile::Thaali, Profile::Harwick] {
        println!("{}", WorstFigures::of(scenario, profile, &all));
    }
    all.iter().filter(|o| bad(o)).count()
}
