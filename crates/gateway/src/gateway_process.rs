use crate::prelude::*;

/// Asks on their way to the core.
const ASK_BOUND: usize = 1_024;
/// Events on their way to the core.
const EVENT_BOUND: usize = 4_096;
/// HTTP channels open at once.
const CHANNELS: usize = 4_096;
/// Room for all request bodies, in KB.
const BODY_ROOM_KB: usize = 64 << 10;
/// How long callers' requests may take to end at a shutdown.
const LAST_CALLS: Duration = Duration::from_secs(2);

/// The whole process.
#[derive(Debug)]
pub struct GatewayProcess;

impl GatewayProcess {
    /// Runs until SIGTERM or SIGINT.
    pub fn run(s: DaemonSettings) -> Result<(), GatewayError> {
        init_logs(s.log_format.parse::<LogFormat>().context(PlumbingSnafu)?, &s.log_level).context(PlumbingSnafu)?;
        let page = MetricsPage::install().context(PlumbingSnafu)?;
        let runtime = daemon_runtime(s.worker_threads as usize).context(PlumbingSnafu)?;
        runtime.block_on(async {
            let stop = shutdown_signal().context(PlumbingSnafu)?;
            let address = s.listen_http;
            let listener = TcpListener::bind(address).await.context(HttpSnafu { address })?;
            Self::serve(s, page, listener, stop).await;
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
            ..GatewaySettings::default()
        }
    }

    /// Serves on a listener until `stop` ends.
    pub async fn serve(s: DaemonSettings, page: MetricsPage, listener: TcpListener, stop: impl Future<Output = ()> + Send + 'static) {
        let core_settings = Self::core_settings(&s);
        let clock = MonotonicClock::start();
        let own = s.listen_internal.ip();
        let http_address = s.advertise_http.unwrap_or(s.listen_http).to_string();
        let instance = rand::random::<u64>();
        let seeds = s.seeds.iter().map(SocketAddr::to_string).collect();
        let core = GatewayCore::new(core_settings.clone(), s.node_name.clone(), s.zone.clone(), http_address, instance, seeds, clock.now());
        let (events, event_inbox) = mpsc::channel(EVENT_BOUND);
        let (asks, ask_inbox) = AskPort::new(ASK_BOUND);
        let view = Arc::new(ArcSwap::new(core.view()));
        let http = HttpCaller::new(own, clock, Duration::from_millis(core_settings.hold_interval_ms));
        let dialer = ChannelDialer::new(own, core_settings.dial_budget(), events.clone());
        let workers = WorkerCaller::new(http, core_settings.hold_budget(), events);
        let core_task = tokio::spawn(CoreLoop::new(core, clock, view.clone(), dialer, workers).run(event_inbox, ask_inbox));
        let body_room = Arc::new(Semaphore::new(BODY_ROOM_KB));
        let ports = Arc::new(GatewayPorts { node: s.node_name.clone(), asks, view, clock, body_room, page });
        tracing::info!(node = s.node_name, address = %s.listen_http, instance, "gateway runs");
        let (begun, begin) = oneshot::channel::<()>();
        let stop = async move {
            stop.await;
            drop(begun);
        };
        let server = viz::serve(BoundedListener::new(listener, CHANNELS), routes(&ports)).signal(stop);
        tokio::select! {
            _ = server.into_future() => {}
            _ = async { let _ = begin.await; tokio::time::sleep(LAST_CALLS).await } => {}
        }
        core_task.abort();
        tracing::info!(node = s.node_name, "gateway ends");
    }
}
