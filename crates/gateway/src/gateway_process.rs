use crate::prelude::*;

/// Asks on their way to the core.
const ASK_BOUND: usize = 1_024;
/// Events on their way to the core.
const EVENT_BOUND: usize = 4_096;
/// HTTP channels open at once.
const CHANNELS: usize = 4_096;
/// Room for all request bodies, in KB.
const BODY_ROOM_KB: usize = 64 << 10;
/// After this part of its grace time a process that was told to end takes no new channels.
const ACCEPT_PART: u32 = 2;
/// Callers' requests may end within this many sixths of the grace time.
const LAST_CALLS_SIXTHS: u32 = 5;
/// Silences of a gateway after which it no longer calls itself ready.
const READY_SILENCES: Millis = 2;

/// The whole process.
#[derive(Debug)]
pub struct GatewayProcess;

impl GatewayProcess {
    /// Runs until SIGTERM or SIGINT.
    pub fn run<S: GatewaySurface>(source: &SettingsSource, s: DaemonSettings, surface: S) -> Result<(), GatewayError> {
        init_logs(s.log_format.parse::<LogFormat>().context(PlumbingSnafu)?, &s.log_level).context(PlumbingSnafu)?;
        let page = MetricsPage::install().context(PlumbingSnafu)?;
        let runtime = daemon_runtime(s.worker_threads as usize).context(PlumbingSnafu)?;
        runtime.block_on(async {
            let stop = shutdown_signal().context(PlumbingSnafu)?;
            let reload = source.changes::<DaemonSettings>().context(PlumbingSnafu)?;
            let address = s.listen_http;
            let listener = TcpListener::bind(address).await.context(HttpSnafu { address })?;
            Self::serve_surface(s, page, listener, surface, reload, stop).await;
            Ok(())
        })
    }

    /// The ratios' bases, from the settings.
    pub fn core_settings(s: &DaemonSettings) -> GatewaySettings {
        GatewaySettings {
            cluster: s.cluster.clone(),
            election_timeout_ms: s.election_timeout_ms,
            gateway_silence_ms: s.gateway_silence_ms,
            hold_interval_ms: s.hold_interval_ms,
            lease_most_ms: s.lease_most_ms,
            ..GatewaySettings::default()
        }
    }

    /// Serves firlock's own API on a listener until `stop` ends.
    pub async fn serve(s: DaemonSettings, page: MetricsPage, listener: TcpListener, stop: impl Future<Output = ()> + Send + 'static) {
        Self::serve_surface(s, page, listener, OwnSurface, futures::stream::pending(), stop).await;
    }

    /// Serves a surface on a listener until `stop` ends; `reload` brings settings that changed meanwhile.
    pub async fn serve_surface<S: GatewaySurface>(
        s: DaemonSettings,
        page: MetricsPage,
        listener: TcpListener,
        surface: S,
        reload: impl Stream<Item = DaemonSettings> + Send + 'static,
        stop: impl Future<Output = ()> + Send + 'static,
    ) {
        let core_settings = Self::core_settings(&s);
        let clock = MonotonicClock::start();
        let own = s.listen_internal.ip();
        let http_address = s.advertise_http.unwrap_or(s.listen_http).to_string();
        let instance = rand::random::<u64>();
        let core =
            GatewayCore::new(core_settings.clone(), s.node_name.clone(), s.zone.clone(), http_address, instance, seeds(&s), clock.now());
        let (events, event_inbox) = mpsc::channel(EVENT_BOUND);
        let (asks, ask_inbox) = AskPort::new(ASK_BOUND);
        let view = Arc::new(LiveView::new(core.view()));
        let http = HttpCaller::new(own, clock, Duration::from_millis(core_settings.connect_budget()));
        let dialer = ChannelDialer::new(own, core_settings.dial_budget(), events.clone());
        tokio::spawn(take_seeds(reload, events.clone()));
        let workers = WorkerCaller::new(http, surface.workers(), core_settings.order_budget(), events);
        let core_task = tokio::spawn(CoreLoop::new(core, clock, view.clone(), dialer, workers).run(event_inbox, ask_inbox));
        let ports = Arc::new(GatewayPorts {
            node: s.node_name.clone(),
            asks,
            view,
            clock,
            body_room: Arc::new(Semaphore::new(BODY_ROOM_KB)),
            page,
            stopping: Arc::default(),
            ready_silence_ms: READY_SILENCES * s.gateway_silence_ms,
            read_wait: Duration::from_millis(s.read_wait_ms),
            patience: Duration::from_millis(core_settings.patience()),
        });
        tracing::info!(node = s.node_name, address = %s.listen_http, instance, "gateway runs");
        if let Some(address) = s.listen_ready {
            tokio::spawn(serve_readiness(address, ports.clone()));
        }
        let grace = Duration::from_secs_f64(s.grace_s);
        let (begun, begin) = oneshot::channel::<()>();
        let stopping = ports.stopping.clone();
        let close = async move {
            stop.await;
            stopping.store(true, Ordering::Relaxed);
            drop(begun);
            // Callers are sent elsewhere first; who comes meanwhile is served.
            tokio::time::sleep(grace / ACCEPT_PART).await;
        };
        let server = viz::serve(BoundedListener::new(listener, CHANNELS), surface.routes(&ports)).signal(close);
        tokio::select! {
            _ = server.into_future() => {}
            _ = async { let _ = begin.await; tokio::time::sleep(grace * LAST_CALLS_SIXTHS / 6).await } => {}
        }
        core_task.abort();
        tracing::info!(node = s.node_name, "gateway ends");
    }
}

/// Answers whether this gateway is ready, whatever the path.
async fn serve_readiness(address: SocketAddr, ports: Arc<GatewayPorts>) {
    let app = Router::new().any("/*", move |_: Request| {
        let status = if ports.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { viz::Result::Ok(answer_page(status, &(), None)) }
    });
    match TcpListener::bind(address).await {
        Ok(l) => {
            if let Err(e) = viz::serve(l, app).await {
                tracing::error!(error = %e, "readiness ended");
            }
        }
        Err(e) => tracing::error!(error = %e, %address, "readiness can't be served"),
    }
}

/// The schedulers to ask first.
fn seeds(s: &DaemonSettings) -> Vec<String> {
    s.seed_addresses().iter().map(SocketAddr::to_string).collect()
}

/// Hands changed seeds on to the core.
async fn take_seeds(reload: impl Stream<Item = DaemonSettings>, events: mpsc::Sender<LoopEvent>) {
    let mut reload = std::pin::pin!(reload);
    while let Some(s) = reload.next().await {
        tracing::info!(seeds = s.seeds.len(), "settings read again");
        if events.send(GatewayInput::Seeds(seeds(&s)).into()).await.is_err() {
            return;
        }
    }
}
