//! Measures the slopes and writes the table, the plots and the JSON.

mod prelude;

use crate::prelude::*;

#[global_allocator]
static HEAP: CountingAllocator = CountingAllocator;

/// Workers of the real processes.
const PROBED: [usize; 4] = [0, 40, 80, 160];
/// How long these are watched.
const WINDOW: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    let mut o = Options::new();
    o.optmulti("v", "variable", "only this variable; may be repeated", "NAME");
    o.optopt("r", "repeats", "readings of each size (2)", "N");
    o.optopt("o", "out", "folder for slopes.md, slopes.json and the plots", "FOLDER");
    o.optflag("w", "whole", "also measure the fleet of the wanted size whole, idle and at its busiest");
    o.optopt("t", "times", "with --whole: this many times the wanted size (1)", "N");
    o.optopt("p", "programs", "also run real processes from this folder of programs, on loopback", "FOLDER");
    o.optflag("n", "none", "no slopes");
    o.optflag("h", "help", "this text");
    let m = match o.parse(std::env::args().skip(1)) {
        Ok(m) => m,
        Err(e) => {
            eprintln!("{e}\n{}", o.usage("capacity-slopes [options]"));
            return ExitCode::from(2);
        }
    };
    if m.opt_present("h") {
        println!("{}", o.usage("capacity-slopes [options]"));
        return ExitCode::SUCCESS;
    }
    match run(&m) {
        Ok(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Measures what the flags ask for.
fn run(m: &Matches) -> Result<String, CapacityError> {
    let named = m.opt_strs("v");
    let of = |v: &Variable| !m.opt_present("n") && (named.is_empty() || named.iter().any(|n| n == v.word()));
    let variables: Vec<Variable> = Variable::ALL.into_iter().filter(of).collect();
    let repeats = m.opt_get_default("r", 2).unwrap_or(2);
    let mut report = measure(&variables, repeats, |line| eprintln!("{line}"))?;
    if m.opt_present("w") {
        let busy = FleetSize::target().times(m.opt_get_default("t", 1).unwrap_or(1));
        let idle = FleetSize { jobs_per_s: 0.0, changes_per_s: 0.0, window_ms: 20_000, ..busy.clone() };
        for size in [idle, busy] {
            report.whole.push(read_least(&size, repeats)?.0);
            eprintln!("whole fleet read");
        }
        let base = FleetDriver::new(FleetSize::default())?.read()?;
        let idle = report.worked_out(&base, &report.whole[0].size, report.whole.first());
        let busy = report.worked_out_busy(&idle, &report.whole[1].size, report.whole.get(1));
        report.worked_out = idle.into_iter().chain(busy).collect();
    }
    if let Some(programs) = m.opt_str("p").map(PathBuf::from) {
        for workers in PROBED {
            let folder = std::env::temp_dir().join(format!("capacity-probe-{}-{workers}", std::process::id()));
            report.processes.push(ProcessProbe::run(&programs, &folder, workers, WINDOW)?);
            eprintln!("processes with {workers} workers read");
            std::fs::remove_dir_all(&folder).unwrap_or_default();
        }
    }
    if let Some(folder) = m.opt_str("o").map(PathBuf::from) {
        report.write(&folder)?;
    }
    Ok(report.markdown())
}
