//! What becomes of calls that wait for a scheduler as their gateway ends.

use gateway::prelude::*;

const GRACE_S: f64 = 1.0;
/// Calls that wait at once.
const CALLS: usize = 32;

/// Takes a gateway's channel and attaches it, tells of each call that is forwarded, and answers none.
async fn silent_scheduler(mut sink: ChannelSink, mut stream: ChannelStream, asked: mpsc::Sender<()>) {
    while let Some(Ok(bytes)) = stream.next().await {
        let reply = match GatewayFrame::from_bytes(&bytes).unwrap() {
            GatewayFrame::Attach { .. } => SchedulerFrame::Attached { node: 1, term: 1, log_time_ms: 9_000, schedulers: vec![] },
            GatewayFrame::Pulse { stamp, .. } => SchedulerFrame::PulseEcho { stamp, log_time_ms: 9_000 },
            GatewayFrame::Ask { .. } => {
                asked.send(()).await.unwrap();
                continue;
            }
            _ => continue,
        };
        if sink.send(reply.to_bytes().into()).await.is_err() {
            return;
        }
    }
}

/// A gateway's process but for its signals: its runtime ends as soon as it does.
fn process(settings: DaemonSettings, http: std::net::TcpListener, stopped: oneshot::Receiver<()>) {
    let runtime = daemon_runtime(2).unwrap();
    let page = MetricsPage::install().unwrap();
    runtime.block_on(async {
        http.set_nonblocking(true).unwrap();
        let http = TcpListener::from_std(http).unwrap();
        GatewayProcess::serve(settings, page, http, async move { drop(stopped.await) }).await;
    });
}

/// One call that has far more time than the gateway: all that came back.
async fn call(to: SocketAddr) -> String {
    let mut caller = TcpStream::connect(to).await.unwrap();
    let head = "GET /v1/status HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-time-budget-ms: 60000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection that is broken off shows in what came.
    let _ = caller.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_call_that_waits_for_a_scheduler_as_its_gateway_ends_is_answered() {
    daemon_runtime(2).unwrap().block_on(async {
        let schedulers = listen("127.4.1.2:0".parse().unwrap()).await.unwrap();
        let http = std::net::TcpListener::bind("127.4.1.1:0").unwrap();
        let at = http.local_addr().unwrap();
        let settings = DaemonSettings {
            node_name: "g1".into(),
            listen_http: at,
            listen_internal: "127.4.1.1:1".parse().unwrap(),
            seeds: vec![schedulers.address],
            grace_s: GRACE_S,
            ..DaemonSettings::default()
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let gateway = std::thread::spawn(move || process(settings, http, stopped));
        let channel = schedulers.next().await.unwrap().open(Duration::from_secs(20)).await.unwrap();
        let (asked, mut forwarded) = mpsc::channel(CALLS);
        tokio::spawn(silent_scheduler(channel.sink, channel.stream, asked));

        let callers: Vec<_> = (0..CALLS).map(|_| tokio::spawn(call(at))).collect();
        for _ in 0..CALLS {
            forwarded.recv().await.unwrap();
        }
        drop(stop);
        for caller in callers {
            let answer = caller.await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 504"), "{answer:?}");
        }
        gateway.join().unwrap();
    });
}
