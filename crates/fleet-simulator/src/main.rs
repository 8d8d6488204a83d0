//! Runs seeds: `cargo run -p fleet-simulator -- --help`.

use fleet_simulator::prelude::*;

fn main() {
    let mut o = getopts::Options::new();
    o.optopt("", "seed", "first seed (1)", "N");
    o.optopt("", "seeds", "how many seeds (1)", "N");
    o.optopt("", "faults", "faults in each run (8); 0 for none", "N");
    o.optopt("", "threads", "threads (1)", "N");
    o.optflag("v", "verbose", "print faults and elections as they happen");
    o.optflag("h", "help", "print this");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let m = match o.parse(&args) {
        Ok(m) if m.opt_present("help") => {
            println!("{}", o.usage("fleet-simulator: whole fleets in simulated time, from seeds. Exit 1 on a violation.\nExample: fleet-simulator --seed 1 --seeds 500 --threads 4"));
            return;
        }
        Ok(m) => m,
        Err(e) => {
            eprintln!("{e}");
            std::process::exit(2);
        }
    };
    let number = |name: &str, default: u64| match m.opt_get_default(name, default) {
        Ok(n) => n,
        Err(e) => {
            eprintln!("--{name}: {e}");
            std::process::exit(2);
        }
    };
    let (first, count, faults, threads) = (number("seed", 1), number("seeds", 1), number("faults", 8), number("threads", 1).max(1));
    let verbose = m.opt_present("verbose");
    let run = |seed: u64| {
        let settings = if faults > 0 { SimulationSettings::chaos(seed, faults as usize) } else { SimulationSettings::new(seed) };
        let mut s = Simulation::new(settings);
        s.verbose = verbose;
        s.run()
    };
    let (mut broken, mut accepted, mut events, mut left) = (0, 0, 0, 0);
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|t| scope.spawn(move || (first..first + count).filter(|s| s % threads == t).map(run).collect::<Vec<_>>()))
            .collect();
        for o in handles.into_iter().flat_map(|h| h.join().unwrap_or_default()) {
            accepted += o.accepted;
            events += o.events;
            left += usize::from(o.attempts_left > 0);
            if !o.is_clean() {
                broken += 1;
                println!("{}", o.describe());
            }
            if verbose {
                println!("{:#?}", o.verdict.figures);
            }
        }
    });
    println!("{count} seeds, {broken} with violations, {left} with attempts left; {accepted} jobs accepted, {events} events");
    if broken > 0 {
        std::process::exit(1);
    }
}
