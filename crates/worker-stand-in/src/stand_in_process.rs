use crate::prelude::*;

/// Many stand-in workers in one process, each with its own listener, and one listener for the fleet's own calls.
pub struct StandInProcess {
    control: SocketAddr,
    hosts: Arc<BTreeMap<Name, Arc<WorkerHost>>>,
    tasks: JoinSet<()>,
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StandInError> {
    let l = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let at = l.local_addr().context(ListenSnafu { address })?;
    Ok((l, at))
}

impl StandInProcess {
    /// Listens on all addresses, then serves in the background.
    pub async fn start(o: StandInOptions) -> Result<Self, StandInError> {
        let clock = TrueClock::start();
        let recorder = Arc::new(Recorder::default());
        let gateways: Arc<[String]> = o.gateways.into();
        let mut listeners = Vec::new();
        let mut hosts = BTreeMap::new();
        for (i, w) in o.workers.iter().enumerate() {
            let (l, at) = listen(w.address).await?;
            let seed = o.seed.wrapping_mul(1_000_003).wrapping_add(i as u64);
            let host = Arc::new(WorkerHost::new(w, seed, at, clock, recorder.clone(), gateways.clone()));
            listeners.push((l, host.clone()));
            hosts.insert(w.name.clone(), host);
        }
        let hosts = Arc::new(hosts);
        let (l, control) = listen(o.control).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(viz::serve(l, control_routes(&hosts, &recorder)).into_future().map(drop));
        for (l, host) in listeners {
            tasks.spawn(viz::serve(l, worker_routes(&host)).into_future().map(drop));
            tasks.spawn(host.drive());
        }
        Ok(StandInProcess { control, hosts, tasks })
    }

    /// Where the control calls are served.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// One worker.
    pub fn host(&self, name: &str) -> Option<&Arc<WorkerHost>> {
        self.hosts.get(name)
    }

    /// Serves until `end`.
    pub async fn run(self, end: impl Future<Output = ()>) {
        end.await;
        let mut tasks = self.tasks;
        tasks.shutdown().await;
    }
}
