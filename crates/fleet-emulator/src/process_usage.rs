use crate::prelude::*;

/// What a process used so far, read from the system.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time, user and system.
    pub cpu_s: f64,
    /// Memory in real pages.
    pub rss_mb: f64,
    /// Threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads that of a process; none when it is gone.
    pub fn of(pid: u32) -> Option<ProcessUsage> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let ticks = rustix::param::clock_ticks_per_second() as f64;
        ProcessUsage::from_stat(&stat, ticks, rustix::param::page_size() as f64)
    }

    /// Reads one line of the system's.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let line = "7 (a (b) c) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0 20 0 3 0 99 1000 256 0";
    /// let u = ProcessUsage::from_stat(line, 100.0, 4096.0).unwrap();
    /// assert_eq!((u.cpu_s, u.rss_mb, u.threads), (2.0, 1.0, 3));
    /// ```
    pub fn from_stat(stat: &str, ticks_per_s: f64, page_size: f64) -> Option<ProcessUsage> {
        // The name in parentheses may hold blanks and parentheses; numbered fields go on after the last one.
        let f: Vec<&str> = stat[stat.rfind(')')? + 1..].split_whitespace().collect();
        let at = |i: usize| f.get(i - 3).and_then(|s| s.parse::<f64>().ok());
        Some(ProcessUsage {
            cpu_s: (at(14)? + at(15)?) / ticks_per_s,
            threads: at(20)? as u64,
            rss_mb: at(24)? * page_size / (1024.0 * 1024.0),
        })
    }
}
