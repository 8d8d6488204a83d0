use crate::prelude::*;

/// What must hold in a scenario besides all rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest outage.
    pub outage_ms: Millis,
    /// 99 of 100 urgent jobs start within this, where the scenario promises it.
    pub urgent_start_p99_ms: Option<Millis>,
}

/// A named run: what goes wrong when, and the bounds that must hold.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What it is about: `control`, `gateways`, `workers`, `crowds`, `configuration` or `clocks`.
    pub group: &'static str,
    /// What goes wrong, in a line.
    pub fault: &'static str,
    /// What the design holds against it.
    pub mechanism: &'static str,
    /// What must hold.
    pub bounds: Bounds,
    /// Makes the faults.
    pub set: fn(&mut SimulationSettings),
}

/// A fleet has started by then.
const STARTED_MS: Millis = 5_000;

impl Scenario {
    /// The settings of one of its runs; even seeds are Thaali's, odd ones Harwick's.
    pub fn settings(&self, seed: u64) -> SimulationSettings {
        let mut s = SimulationSettings::new(seed);
        s.outage_ms = self.bounds.outage_ms;
        // The fleet's own start is no part of what is measured.
        s.load_from_ms = STARTED_MS;
        // Where the speed of starts is bounded, no executor is held up for seconds: that is a fault of another sort.
        if self.bounds.urgent_start_p99_ms.is_some() {
            s.held_up_ratio = 0.0;
        }
        (self.set)(&mut s);
        s
    }

    /// Runs it once. `Err` tells what was broken, and the command that shows it again.
    ///
    /// ```
    /// use fleet_simulator::scenario;
    /// let o = scenario("gateway-crash").unwrap().run(2).unwrap();
    /// assert!(o.accepted > 0);
    /// ```
    pub fn run(&self, seed: u64) -> Result<SimulationOutcome, Box<SimulationOutcome>> {
        let o = Simulation::new(self.settings(seed)).run();
        match o.is_clean() && self.slow(&o).is_none() {
            true => Ok(o),
            false => Err(Box::new(o)),
        }
    }

    /// How slow urgent jobs were, where that is past the bound.
    pub fn slow(&self, o: &SimulationOutcome) -> Option<Millis> {
        let p99 = o.verdict.figures.urgent_start_ms.p99;
        self.bounds.urgent_start_p99_ms.filter(|b| p99 > *b).map(|_| p99)
    }

    /// Runs it over seeds; the text tells each seed that broke something, with the command that shows it again.
    pub fn broken(&self, seeds: std::ops::Range<u64>) -> String {
        seeds.filter_map(|s| self.run(s).err()).map(|o| self.describe(&o)).collect()
    }

    /// What a broken run broke.
    pub fn describe(&self, o: &SimulationOutcome) -> String {
        let slow = self.slow(o).map_or(String::new(), |p| format!("99 of 100 urgent jobs started within {p} ms only\n"));
        format!("{}: {slow}{}  --scenario {}\n", self.name, o.describe(), self.name)
    }
}
