use crate::prelude::*;

/// Workers of one process.
const WORKERS_EACH: usize = 100;
/// Port of the control pages.
const CONTROL_PORT: u16 = 7300;
/// Third number of the control pages' addresses.
const CONTROL_NET: u8 = 6;

/// The processes of stand-in workers and callers.
#[derive(Debug)]
pub struct StandInProcesses {
    children: tokio::sync::Mutex<Vec<ChildProcess>>,
    workers: Vec<Arc<StandInControl>>,
    callers: Arc<StandInControl>,
    /// Which of `workers` a worker lives in.
    homes: BTreeMap<Name, usize>,
    caller_arguments: Vec<String>,
    caller_program: PathBuf,
    folder: PathBuf,
    rate: f64,
    /// All observations so far, by process; the callers' last.
    seen: Mutex<Vec<Vec<RecordedObservation>>>,
}

/// How the load is made up.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Seeds all chance of the load.
    pub seed: u64,
    /// Times the deployment's usual rate.
    pub rate: f64,
    /// Further arguments of the callers' process.
    pub extra: Vec<String>,
}

impl StandInProcesses {
    /// Starts the workers; callers come later. Programs are `worker-stand-in` and `caller-stand-in` in `bin_folder`.
    pub fn start_workers(layout: &Layout, folder: &Path, bin_folder: &Path, load: &LoadOptions) -> FleetResult<StandInProcesses> {
        let control = |i: usize| SocketAddr::new(Ipv4Addr::new(127, layout.net, CONTROL_NET, i as u8 + 1).into(), CONTROL_PORT);
        let gateways: Vec<String> = layout.of_role(Role::Gateway).map(|n| n.advertised_http().to_string()).collect();
        let workers: Vec<(usize, &Node)> = layout.of_role(Role::Worker).enumerate().collect();
        let (mut children, mut controls, mut homes) = (Vec::new(), Vec::new(), BTreeMap::new());
        for (i, some) in workers.chunks(WORKERS_EACH).enumerate() {
            let name = format!("workers{}", i + 1);
            let file = folder.join(format!("{name}.json"));
            let list: Vec<Value> = some.iter().map(|(number, n)| worker_entry(&layout.deployment, *number as u32, n)).collect();
            fs::write(&file, Value::from(list).to_string()).context(FileSnafu { path: &file })?;
            let mut arguments: Vec<String> = ["--workers".into(), file.to_string_lossy().into_owned()].into();
            for g in &gateways {
                arguments.extend(["--gateway".into(), g.clone()]);
            }
            arguments.extend(["--control".into(), control(i).to_string(), "--seed".into(), (load.seed + i as u64).to_string()]);
            let mut child = ChildProcess::new(&name, bin_folder.join("worker-stand-in"), arguments, folder.join(format!("{name}.log")));
            child.start()?;
            children.push(child);
            controls.push(Arc::new(StandInControl::new(control(i))));
            homes.extend(some.iter().map(|(_, n)| (n.name.clone(), i)));
        }
        let callers = control(controls.len());
        let caller = layout.of_role(Role::Caller).next().map(|n| n.ip.to_string()).unwrap_or_default();
        let zones: Vec<String> = layout.deployment.regions.iter().map(|(r, z)| format!("{r}:{}", z.join(","))).collect();
        let mut caller_arguments: Vec<String> = [
            ("--profile", layout.deployment.name.clone()),
            ("--gateways", gateways.join(",")),
            ("--seed", load.seed.to_string()),
            ("--rate", load.rate.to_string()),
            ("--zones", zones.join(";")),
            ("--bind", caller),
            ("--epoch", "0".to_owned()),
            ("--control", callers.to_string()),
        ]
        .into_iter()
        .flat_map(|(k, v)| [k.to_owned(), v])
        .collect();
        caller_arguments.push("--operators".into());
        caller_arguments.extend(load.extra.iter().cloned());
        Ok(StandInProcesses {
            seen: Mutex::new(vec![Vec::new(); controls.len() + 1]),
            children: tokio::sync::Mutex::new(children),
            workers: controls,
            callers: Arc::new(StandInControl::new(callers)),
            homes,
            caller_arguments,
            caller_program: bin_folder.join("caller-stand-in"),
            folder: folder.to_owned(),
            rate: load.rate,
        })
    }

    /// Starts the callers: the load begins.
    pub async fn start_callers(&self) -> FleetResult<()> {
        let log = self.folder.join("callers.log");
        let mut child = ChildProcess::new("callers", self.caller_program.clone(), self.caller_arguments.clone(), log);
        child.start()?;
        self.children.lock().await.push(child);
        Ok(())
    }

    /// An error if one of the processes ended.
    pub async fn check(&self) -> FleetResult<()> {
        self.children.lock().await.iter_mut().try_for_each(ChildProcess::check)
    }

    /// Reads what was observed since the last call, into the whole.
    pub async fn collect(&self) -> FleetResult<()> {
        for (i, c) in self.workers.iter().chain([&self.callers]).enumerate() {
            let new = c.observations().await?;
            lock(&self.seen)[i].extend(new);
        }
        Ok(())
    }

    /// Looks through everything collected, recorder by recorder, without copying it.
    pub fn with_seen<T>(&self, f: impl FnOnce(&[Vec<RecordedObservation>]) -> T) -> T {
        f(&lock(&self.seen))
    }

    /// Tasks that run on all workers now.
    pub async fn running(&self) -> FleetResult<u64> {
        let mut n = 0;
        for c in &self.workers {
            let list: Vec<Value> = c.read("/workers").await?;
            n += list.iter().filter_map(|w| w["running"].as_u64()).sum::<u64>();
        }
        Ok(n)
    }

    /// What the callers' process says of itself.
    pub async fn caller_figures(&self) -> FleetResult<Value> {
        self.callers.read("/figures").await
    }

    /// Processor time of the stand-ins so far: what the fleet itself takes from the machine.
    pub async fn cpu_s(&self) -> f64 {
        self.children.lock().await.iter_mut().map(|c| c.usage().cpu_s).sum()
    }

    /// The control pages of the process in which a worker lives.
    fn home(&self, worker: &str) -> FleetResult<&Arc<StandInControl>> {
        let i = self.homes.get(worker).context(NobodyThereSnafu { whom: worker })?;
        self.workers.get(*i).context(NobodyThereSnafu { whom: worker })
    }
}

/// A worker as the workers file tells it.
fn worker_entry(d: &Deployment, number: u32, n: &Node) -> Value {
    json!({
        "name": n.name,
        "address": n.http().to_string(),
        "advertise": n.advertised_http().to_string(),
        "service": d.service,
        "kind": d.kind_of(number),
        "rack": n.rack,
        "zone": n.zone,
        "cpu_millis": d.cpu_millis,
        "memory_mb": d.memory_mb,
        "leased": d.leased,
    })
}

impl StandIns for StandInProcesses {
    async fn behave(&self, workers: &[Name], behaviour: &Value) -> FleetResult<()> {
        for w in workers {
            self.home(w)?.call(Method::Post, &format!("/behaviour/{w}"), Some(behaviour)).await?;
        }
        Ok(())
    }

    async fn cold(&self, workers: &[Name], gone_s: f64) -> FleetResult<()> {
        for w in workers {
            let away_ms = (gone_s * 1000.0) as u64;
            self.home(w)?.call(Method::Post, &format!("/cold/{w}?away_ms={away_ms}"), None).await?;
        }
        Ok(())
    }

    fn drain(&self, workers: &[Name], on: bool) -> FleetResult<()> {
        for w in workers {
            let (home, target) = (self.home(w)?.clone(), format!("/drain/{w}?on={on}"));
            // Answered once a gateway has acknowledged it, which may take long; leaving ends the attempts.
            tokio::spawn(async move {
                for _ in 0..DRAIN_TRIES {
                    if home.call(Method::Post, &target, None).await.is_ok() {
                        return;
                    }
                }
            });
        }
        Ok(())
    }

    async fn rate(&self, factor: f64) -> FleetResult<()> {
        let rate = factor * self.rate;
        self.callers.call(Method::Post, "/rate", Some(&json!({"rate": rate}))).await.map(drop)
    }
}

/// How often a worker announces a drain anew.
const DRAIN_TRIES: u32 = 20;
