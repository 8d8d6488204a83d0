use crate::prelude::*;

/// Real processes on loopback: a scheduler alone, a gateway, and stand-in workers. Reads what the kernel says of them.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessProbe {
    /// Workers held.
    pub workers: usize,
    /// What each process used.
    pub processes: BTreeMap<&'static str, ProcessFigures>,
}

/// What the kernel says of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessFigures {
    /// Resident memory at the end.
    pub resident_kb: u64,
    /// Of it, pages of its own: neither of files nor shared.
    pub own_kb: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time a second over the window, user and system, in milliseconds.
    pub cpu_ms_per_s: f64,
    /// Bytes that reached the disk's layer, a second.
    pub disk_bytes_per_s: f64,
}

/// Ended when dropped: by its own id.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Warming up before the window.
const WARM: Duration = Duration::from_secs(6);

impl ProcessProbe {
    /// Runs the programs in `programs` for a window, with their files in `folder`.
    pub fn run(programs: &Path, folder: &Path, workers: usize, window: Duration) -> Result<Self, CapacityError> {
        let writing = |path: PathBuf| crate::capacity_error::WritingSnafu { path };
        let data = folder.join("data");
        std::fs::create_dir_all(&data).context(writing(data.clone()))?;
        let ip = |n: usize| format!("127.77.{}.{}", n / 250, n % 250 + 1);
        let put = |name: &str, v: Value| {
            let path = folder.join(name);
            std::fs::write(&path, v.to_string()).context(writing(path.clone()))?;
            Ok(path)
        };
        let daemon = |name: &str, n: usize| {
            let (http, internal, leader) = (format!("{}:7000", ip(n)), format!("{}:7001", ip(n)), format!("{}:7001", ip(0)));
            let mut v = json!({"node_name": name, "cluster": "probe", "listen_http": http, "listen_internal": internal,
                "zone": "z1", "seeds": [leader], "worker_threads": 2, "log_level": "error"});
            if n == 0 {
                v["data_folder"] = json!(data);
                v["founders"] = json!([leader]);
            }
            v
        };
        let scheduler = put("scheduler.json", daemon("s0", 0))?;
        let gateway = put("gateway.json", daemon("g0", 1))?;
        let list: Vec<Value> = (0..workers)
            .map(|i| {
                json!({"name": format!("worker-{i:04}"), "address": format!("{}:7100", ip(10 + i)), "service": "teams", "kind": "new",
                    "rack": "r1", "zone": "z1", "cpu_millis": 16_000, "memory_mb": 64_000})
            })
            .collect();
        let list = put("workers.json", json!(list))?;
        let begin = |program: &str, args: &[&std::ffi::OsStr]| {
            let path = programs.join(program);
            let child = Command::new(&path).args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
            child.map(Running).context(writing(path))
        };
        let mut running = vec![
            ("scheduler", begin("scheduler", &["--settings".as_ref(), scheduler.as_os_str()])?),
            ("gateway", begin("gateway", &["--settings".as_ref(), gateway.as_os_str()])?),
        ];
        if workers > 0 {
            let (at, control) = (format!("{}:7000", ip(1)), format!("{}:7200", ip(2)));
            let args = ["--workers".as_ref(), list.as_os_str(), "--gateway".as_ref(), at.as_ref(), "--control".as_ref(), control.as_ref()];
            running.push(("worker-stand-in", begin("worker-stand-in", &args)?));
        }
        std::thread::sleep(WARM);
        let before: Vec<(u64, u64)> = running.iter().map(|(_, r)| spent(r.0.id())).collect();
        std::thread::sleep(window);
        let mut processes = BTreeMap::new();
        for ((name, r), b) in running.iter().zip(before) {
            let now = spent(r.0.id());
            let status = std::fs::read_to_string(format!("/proc/{}/status", r.0.id())).unwrap_or_default();
            let field = |f: &str| status.lines().find_map(|l| l.strip_prefix(f)?.split_whitespace().next()?.parse().ok()).unwrap_or(0);
            let ticks = rustix::param::clock_ticks_per_second() as f64;
            let figures = ProcessFigures {
                resident_kb: field("VmRSS:"),
                own_kb: field("RssAnon:"),
                threads: field("Threads:"),
                cpu_ms_per_s: (now.0 - b.0) as f64 / ticks * 1_000.0 / window.as_secs_f64(),
                disk_bytes_per_s: (now.1 - b.1) as f64 / window.as_secs_f64(),
            };
            processes.insert(*name, figures);
        }
        Ok(ProcessProbe { workers, processes })
    }

    /// Its lines of the table.
    pub fn lines(&self) -> String {
        let line = |(name, f): (&&str, &ProcessFigures)| {
            format!(
                "| {} | {name} | {} | {} | {} | {:.1} | {:.0} |\n",
                self.workers, f.resident_kb, f.own_kb, f.threads, f.cpu_ms_per_s, f.disk_bytes_per_s
            )
        };
        self.processes.iter().map(line).collect()
    }
}

/// Clock ticks and bytes written so far.
fn spent(pid: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = stat.rsplit_once(')').map_or("", |s| s.1);
    // Behind the name: the state is field 3, so times 14 and 15 stand at 11 and 12.
    let ticks = rest.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    let io = std::fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    let written = io.lines().find_map(|l| l.strip_prefix("write_bytes: ")?.parse().ok()).unwrap_or(0);
    (ticks, written)
}
