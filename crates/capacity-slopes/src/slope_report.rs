use crate::prelude::*;

/// All slopes, and the fleet of the wanted size measured whole.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SlopeReport {
    /// The slopes.
    pub slopes: Vec<Slope>,
    /// What was read.
    pub readings: Vec<Reading>,
    /// The fleet of the wanted size, idle and at its busiest.
    pub whole: Vec<Reading>,
    /// The idle figures of the wanted size, worked out.
    pub worked_out: Vec<WorkedOut>,
    /// Real processes.
    pub processes: Vec<ProcessProbe>,
}

/// Measures some variables, each size `repeats` times: counts are the same each time, of processor time the least is kept.
pub fn measure(variables: &[Variable], repeats: usize, mut say: impl FnMut(&str)) -> Result<SlopeReport, CapacityError> {
    let mut report = SlopeReport::default();
    for &v in variables {
        let mut readings = Vec::new();
        for &x in v.sizes() {
            let (r, noise) = read_least(&v.fleet(x), repeats)?;
            say(&format!("{} {x}: {} finished, {} out, {} jobs", v.word(), r.finished, r.running, r.jobs));
            readings.push((x, r, noise));
        }
        report.add(v, &readings)?;
        report.readings.extend(readings.into_iter().map(|r| r.1));
    }
    Ok(report)
}

/// Reads one size several times: the first reading, with the least processor time, and its spread by role.
pub fn read_least(size: &FleetSize, repeats: usize) -> Result<(Reading, BTreeMap<Role, f64>), CapacityError> {
    let mut first = FleetDriver::new(size.clone())?.read()?;
    let mut most: BTreeMap<Role, f64> = first.figures.iter().filter_map(|(r, f)| Some((*r, *f.get(&Quantity::Cpu)?))).collect();
    for _ in 1..repeats {
        let next = FleetDriver::new(size.clone())?.read()?;
        for (role, f) in &mut first.figures {
            let (Some(a), Some(b)) = (f.get_mut(&Quantity::Cpu), next.figure(*role, Quantity::Cpu)) else { continue };
            *a = a.min(b);
            if let Some(m) = most.get_mut(role) {
                *m = m.max(b);
            }
        }
    }
    let least = |r: &Role| first.figure(*r, Quantity::Cpu).unwrap_or(0.0).max(f64::MIN_POSITIVE);
    let noise = most.iter().map(|(r, m)| (*r, m / least(r) - 1.0)).collect();
    Ok((first, noise))
}

impl SlopeReport {
    fn add(&mut self, variable: Variable, readings: &[(f64, Reading, BTreeMap<Role, f64>)]) -> Result<(), CapacityError> {
        for role in Role::ALL {
            for quantity in Quantity::ALL {
                let points: Vec<(f64, f64)> = readings.iter().filter_map(|(x, r, _)| Some((*x, r.figure(role, quantity)?))).collect();
                // One scheduler has no follower: its size is left out.
                if points.len() < 2 {
                    continue;
                }
                let fit = Fit::of(&points)?;
                let worst = readings.iter().filter_map(|r| r.2.get(&role).copied()).fold(0.0, f64::max);
                let noise_ratio = (quantity == Quantity::Cpu).then_some(worst);
                self.slopes.push(Slope { variable, role, quantity, points, fit, noise_ratio });
            }
        }
        Ok(())
    }

    /// One slope.
    pub fn slope(&self, v: Variable, r: Role, q: Quantity) -> Option<&Slope> {
        self.slopes.iter().find(|s| (s.variable, s.role, s.quantity) == (v, r, q))
    }

    /// The slopes as a table; those of nothing are left out.
    pub fn markdown(&self) -> String {
        let mut t =
            String::from("| variable | role | quantity | slope for one more | without any | residual | residual, share | noise |\n");
        t.push_str("|---|---|---|--:|--:|--:|--:|--:|\n");
        for s in self.slopes.iter().filter(|s| s.points.iter().any(|p| p.1 != 0.0)) {
            let noise = s.noise_ratio.map_or("exact".to_owned(), |n| format!("{:.0}%", n * 100.0));
            let f = &s.fit;
            t.push_str(&format!(
                "| {} | {} | {} | {:.3} | {:.1} | {:.2} | {:.1}% | {noise} |\n",
                s.variable.word(),
                s.role.word(),
                s.quantity,
                f.slope,
                f.intercept,
                f.residual,
                f.residual_ratio * 100.0
            ));
        }
        if !self.worked_out.is_empty() {
            t.push_str("\n| role | quantity | parts | worked out | whole fleet |\n|---|---|---|--:|--:|\n");
            self.worked_out.iter().for_each(|w| t.push_str(&format!("{w}\n")));
        }
        for r in &self.whole {
            t.push_str(&whole_table(r));
        }
        if !self.processes.is_empty() {
            t.push_str("\n| workers | process | resident, KB | own pages, KB | threads | processor, ms/s | disk, B/s |\n|--:|---|--:|--:|--:|--:|--:|\n");
            self.processes.iter().for_each(|p| t.push_str(&p.lines()));
            for (name, what, of) in PROBED {
                let points: Vec<(f64, f64)> =
                    self.processes.iter().filter_map(|p| Some((p.workers as f64, of(p.processes.get(name)?)))).collect();
                if let Ok(f) = Fit::of(&points) {
                    t.push_str(&format!(
                        "\n{name}: {what}: {:.3} for one more worker, {:.1} without any, residual {:.2}\n",
                        f.slope, f.intercept, f.residual
                    ));
                }
            }
        }
        t
    }

    /// The report as JSON.
    pub fn json(&self) -> Result<String, CapacityError> {
        serde_json::to_string_pretty(self).context(crate::capacity_error::JsonSnafu)
    }

    /// Writes the table, the JSON and the plots into a folder.
    pub fn write(&self, folder: &Path) -> Result<(), CapacityError> {
        let put = |name: &str, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).context(crate::capacity_error::WritingSnafu { path })
        };
        std::fs::create_dir_all(folder).context(crate::capacity_error::WritingSnafu { path: folder })?;
        put("slopes.md", self.markdown())?;
        put("slopes.json", self.json()?)?;
        self.draw(folder)?;
        Ok(())
    }

    /// Draws each variable's plots into a folder; gives the files.
    pub fn draw(&self, folder: &Path) -> Result<Vec<PathBuf>, CapacityError> {
        let mut files = Vec::new();
        for v in Variable::ALL {
            let of: Vec<&Slope> = self.slopes.iter().filter(|s| s.variable == v).collect();
            if !of.is_empty() {
                files.push(SlopePlot::new(v, of).draw(folder)?);
            }
        }
        Ok(files)
    }
}

/// A figure of a process: its program, its words, and where it is read.
type Probed = (&'static str, &'static str, fn(&ProcessFigures) -> f64);

/// What of the real processes is fitted against their workers.
const PROBED: [Probed; 4] = [
    ("gateway", "resident KB", |f| f.resident_kb as f64),
    ("gateway", "processor ms/s", |f| f.cpu_ms_per_s),
    ("scheduler", "resident KB", |f| f.resident_kb as f64),
    ("scheduler", "processor ms/s", |f| f.cpu_ms_per_s),
];

/// What one fleet spent, by role and by kind of message.
fn whole_table(r: &Reading) -> String {
    let s = &r.size;
    let mut t = format!(
        "\n{} workers, {} running, {} gateways, {} members, {} queues in {} zones, {:.1} starts/s, {} jobs kept, snapshot {} B, {} entries, {} commands, {} updates in {} s\n\n",
        s.workers,
        r.running,
        s.gateways,
        s.members,
        s.queues,
        s.zones,
        r.started as f64 * 1_000.0 / r.window_ms as f64,
        r.jobs,
        r.snapshot_bytes,
        r.entries,
        r.commands,
        r.updates,
        r.window_ms / 1_000
    );
    t.push_str("| quantity | leader | follower | gateway |\n|---|--:|--:|--:|\n");
    for q in Quantity::ALL {
        let cell = |role| r.figure(role, q).map_or("-".to_owned(), |x| format!("{x:.1}"));
        t.push_str(&format!("| {q} | {} | {} | {} |\n", cell(Role::Leader), cell(Role::Follower), cell(Role::Gateway)));
    }
    t.push_str("\n| role | way | kind | messages/s | bytes/s |\n|---|---|---|--:|--:|\n");
    for (role, u) in &r.usage {
        let per_s = 1_000.0 / r.window_ms as f64 / u.processes.max(1) as f64;
        for (way, traffic) in [("sent", &u.sent), ("received", &u.received), ("orders", &u.orders), ("answers", &u.answers)] {
            for (kind, f) in &traffic.kinds {
                let (n, b) = (f.messages as f64 * per_s, f.bytes as f64 * per_s);
                t.push_str(&format!("| {} | {way} | {kind} | {n:.2} | {b:.0} |\n", role.word()));
            }
        }
        t.push_str(&format!("| {} | longest step, us | | | {:.0} |\n", role.word(), u.longest_ns as f64 / 1_000.0));
        t.push_str(&format!("| {} | snapshot bytes to disk | | | {:.0} |\n", role.word(), u.snapshot_bytes as f64 * per_s));
    }
    t
}
