use crate::prelude::*;

/// What the kernel says of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessStatistics {
    /// CPU used so far, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessStatistics {
    /// Reads it; `None` where the kernel has no such file.
    pub fn read() -> Option<Self> {
        let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
        let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
        Self::parse(&stat, &statm, rustix::param::clock_ticks_per_second(), rustix::param::page_size() as u64)
    }

    /// Reads it from the two files' text.
    ///
    /// ```
    /// use process_plumbing::ProcessStatistics;
    /// let stat = "7 (a b) R 1 2 3 4 5 6 7 8 9 10 150 50 0 0";
    /// let s = ProcessStatistics::parse(stat, "90 30 1 1 0 1 0", 100, 4096).unwrap();
    /// assert_eq!((s.cpu_seconds, s.resident_bytes), (2.0, 30 * 4096));
    /// ```
    pub fn parse(stat: &str, statm: &str, ticks_per_second: u64, page_bytes: u64) -> Option<Self> {
        // The name in brackets may hold blanks: fields count from behind it, the state being the first.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(ProcessStatistics { cpu_seconds: (user + system) as f64 / ticks_per_second as f64, resident_bytes: pages * page_bytes })
    }

    /// Sets the gauges.
    pub fn publish(&self) {
        gauge!("process_cpu_seconds_total").set(self.cpu_seconds);
        gauge!("process_resident_memory_bytes").set(self.resident_bytes as f64);
    }
}
