use crate::prelude::*;

/// A child that several tasks may act on, one after the other.
type SharedChild = Arc<tokio::sync::Mutex<ChildProcess>>;

/// All daemons of a fleet: their folders, their settings files and their processes.
#[derive(Debug)]
pub struct Daemons {
    children: BTreeMap<NodeId, SharedChild>,
    folders: BTreeMap<NodeId, PathBuf>,
    /// Dead or frozen by the fleet's own doing.
    away: Mutex<BTreeSet<NodeId>>,
}

impl Daemons {
    /// Writes the settings files and names the processes; none is started yet. Programs are `scheduler` and
    /// `gateway` in `bin_folder`.
    pub fn prepare(layout: &Layout, folder: &Path, bin_folder: &Path) -> FleetResult<Daemons> {
        let mut d = Daemons { children: BTreeMap::new(), folders: BTreeMap::new(), away: Mutex::default() };
        for n in layout.nodes.iter().filter(|n| n.is_daemon()) {
            let own = folder.join(&n.name);
            fs::create_dir_all(&own).context(FileSnafu { path: &own })?;
            let settings = own.join("settings.json");
            let text = serde_json::to_vec_pretty(&layout.daemon_settings(n, &own)).context(JsonSnafu { path: &settings })?;
            fs::write(&settings, text).context(FileSnafu { path: &settings })?;
            let program = bin_folder.join(if n.role == Role::Scheduler { "scheduler" } else { "gateway" });
            let arguments = vec!["--settings".to_owned(), settings.to_string_lossy().into_owned()];
            let child = ChildProcess::new(&n.name, program, arguments, own.join("log.txt"));
            d.children.insert(n.id, Arc::new(tokio::sync::Mutex::new(child)));
            d.folders.insert(n.id, own);
        }
        Ok(d)
    }

    /// The process of a node.
    fn child(&self, id: NodeId) -> FleetResult<&SharedChild> {
        self.children.get(&id).context(NobodyThereSnafu { whom: format!("daemon {id}") })
    }

    /// Whether it neither died nor was frozen by the fleet's doing.
    pub fn runs(&self, id: NodeId) -> bool {
        !lock(&self.away).contains(&id)
    }

    fn set_away(&self, id: NodeId, on: bool) {
        let mut a = lock(&self.away);
        if on {
            a.insert(id);
        } else {
            a.remove(&id);
        }
    }

    /// Starts one, unless it runs.
    pub async fn start(&self, id: NodeId) -> FleetResult<()> {
        self.child(id)?.lock().await.start()?;
        self.set_away(id, false);
        Ok(())
    }

    /// SIGKILL.
    pub async fn kill(&self, id: NodeId) -> FleetResult<()> {
        self.set_away(id, true);
        self.child(id)?.lock().await.kill();
        Ok(())
    }

    /// SIGSTOP.
    pub async fn freeze(&self, id: NodeId) -> FleetResult<()> {
        self.set_away(id, true);
        self.child(id)?.lock().await.freeze()
    }

    /// SIGHUP.
    pub async fn hup(&self, id: NodeId) -> FleetResult<()> {
        self.child(id)?.lock().await.hup()
    }

    /// SIGCONT; a dead one stays dead.
    pub async fn wake(&self, id: NodeId) -> FleetResult<()> {
        let mut c = self.child(id)?.lock().await;
        c.wake()?;
        if c.is_started() {
            self.set_away(id, false);
        }
        Ok(())
    }

    /// SIGTERM, and a new start. Answers whether it ended by itself in time.
    pub async fn restart(&self, id: NodeId) -> FleetResult<bool> {
        self.set_away(id, true);
        let mut c = self.child(id)?.lock().await;
        let well = c.leave().await?;
        c.start()?;
        self.set_away(id, false);
        Ok(well)
    }

    /// SIGKILL, and its files are gone.
    pub async fn wipe(&self, id: NodeId) -> FleetResult<()> {
        self.kill(id).await?;
        let data = self.folders.get(&id).context(NobodyThereSnafu { whom: format!("daemon {id}") })?.join("data");
        match fs::remove_dir_all(&data) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e).context(FileSnafu { path: data }),
            _ => Ok(()),
        }
    }

    /// Those that ended without the fleet's doing since the last look, in words.
    pub async fn ended(&self) -> Vec<(NodeId, String)> {
        let mut v = Vec::new();
        for (&id, c) in &self.children {
            // One that is just being restarted is left alone.
            let Ok(mut c) = c.try_lock() else { continue };
            if let Err(e) = c.check() {
                v.push((id, e.to_string()));
                c.kill();
                self.set_away(id, true);
            }
        }
        v
    }

    /// What each used so far: processor time, memory now, most memory, starts.
    pub async fn usage(&self) -> BTreeMap<NodeId, (ProcessUsage, f64, u64)> {
        let mut m = BTreeMap::new();
        for (&id, c) in &self.children {
            let mut c = c.lock().await;
            m.insert(id, (c.usage(), c.rss_peak_mb(), c.starts()));
        }
        m
    }

    /// Asks all to end, all at once, and ends those that don't.
    pub async fn stop(&self) {
        let leave = |c: SharedChild| async move {
            let mut c = c.lock().await;
            // A frozen one hears nothing; whoever doesn't end is killed when dropped.
            let _ = c.wake();
            let _ = c.leave().await;
        };
        join_all(self.children.values().cloned().map(leave)).await;
    }
}
