use crate::prelude::*;

/// How long a process may take to end by itself after SIGTERM.
const LEAVE: Duration = Duration::from_secs(5);
/// How often its end is looked for meanwhile.
const LOOK: Duration = Duration::from_millis(20);

/// A program the fleet started; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    /// Its name in the fleet.
    pub name: Name,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    frozen: bool,
    starts: u64,
    cpu_before: f64,
    last: ProcessUsage,
    rss_peak_mb: f64,
}

impl ChildProcess {
    /// A program that isn't started yet; what it writes goes to the end of `log`.
    pub fn new(name: &str, program: PathBuf, arguments: Vec<String>, log: PathBuf) -> ChildProcess {
        ChildProcess {
            name: name.to_owned(),
            program,
            arguments,
            log,
            child: None,
            frozen: false,
            starts: 0,
            cpu_before: 0.0,
            last: ProcessUsage::default(),
            rss_peak_mb: 0.0,
        }
    }

    /// Starts it, unless it runs.
    pub fn start(&mut self) -> FleetResult<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let open = || fs::OpenOptions::new().create(true).append(true).open(&self.log).context(FileSnafu { path: &self.log });
        let (out, err) = (open()?, open()?);
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .context(SpawnSnafu { program: &self.program })?;
        self.child = Some(child);
        self.frozen = false;
        self.starts += 1;
        Ok(())
    }

    /// Whether it was started and not ended by the fleet.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it is stopped by SIGSTOP.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Its process id, while it is started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// How often it was started.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    fn signal(&self, s: Signal) -> FleetResult<()> {
        let Some(pid) = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32)) else {
            return Ok(());
        };
        kill_process(pid, s).map_err(|source| FleetError::SignalNotSent { name: self.name.clone(), source })
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.usage();
        if let Some(mut c) = self.child.take() {
            // It may have ended by itself meanwhile; then there is nothing to kill, and it is reaped all the same.
            let _ = c.kill();
            let _ = c.wait();
        }
        self.settle();
    }

    /// Has it read its settings again.
    pub fn hup(&self) -> FleetResult<()> {
        self.signal(Signal::HUP)
    }

    /// Stops it where it is.
    pub fn freeze(&mut self) -> FleetResult<()> {
        self.signal(Signal::STOP)?;
        self.frozen = self.child.is_some();
        Ok(())
    }

    /// Lets it go on.
    pub fn wake(&mut self) -> FleetResult<()> {
        self.signal(Signal::CONT)?;
        self.frozen = false;
        Ok(())
    }

    /// Asks it to end, and ends it if it doesn't in time. Answers whether it ended by itself.
    pub async fn leave(&mut self) -> FleetResult<bool> {
        self.usage();
        self.signal(Signal::TERM)?;
        let until = Instant::now() + LEAVE;
        while Instant::now() < until {
            if self.ended().is_some() {
                self.child = None;
                self.settle();
                return Ok(true);
            }
            tokio::time::sleep(LOOK).await;
        }
        self.kill();
        Ok(false)
    }

    /// How it ended, if it did without the fleet's doing.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// An error if it ended without the fleet's doing.
    pub fn check(&mut self) -> FleetResult<()> {
        match self.ended() {
            Some(status) => EndedSnafu { name: self.name.clone(), status, log: self.log.clone() }.fail(),
            None => Ok(()),
        }
    }

    /// Books what the ended process used.
    fn settle(&mut self) {
        self.cpu_before += self.last.cpu_s;
        self.last = ProcessUsage::default();
        self.frozen = false;
    }

    /// What it used over all its starts, memory as of now.
    pub fn usage(&mut self) -> ProcessUsage {
        if let Some(u) = self.child.as_ref().and_then(|c| ProcessUsage::of(c.id())) {
            // A process that has ended but isn't reaped shows no pages; its last figure stays.
            if u.rss_mb > 0.0 {
                self.last = u;
                self.rss_peak_mb = self.rss_peak_mb.max(u.rss_mb);
            }
        }
        ProcessUsage { cpu_s: self.cpu_before + self.last.cpu_s, ..self.last }
    }

    /// The most memory seen.
    pub fn rss_peak_mb(&self) -> f64 {
        self.rss_peak_mb
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
