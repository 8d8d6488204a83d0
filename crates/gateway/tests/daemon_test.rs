use gateway::prelude::*;

const WORKER: &str = "w1";

/// A scheduler that takes everything: the frames it got go out by `got`.
struct Scheduler {
    sink: ChannelSink,
    stream: ChannelStream,
}

impl Scheduler {
    async fn send(&mut self, f: SchedulerFrame) {
        self.sink.send(f.to_bytes().into()).await.unwrap();
    }

    /// Serves until a frame is wanted.
    async fn until<T>(&mut self, wanted: impl Fn(&GatewayFrame) -> Option<T>) -> T {
        loop {
            let f = GatewayFrame::from_bytes(&self.stream.next().await.unwrap().unwrap()).unwrap();
            match &f {
                GatewayFrame::Attach { .. } => {
                    self.send(SchedulerFrame::Attached { node: 1, term: 1, log_time_ms: 9_000, schedulers: vec![] }).await
                }
                GatewayFrame::Pulse { stamp, .. } => self.send(SchedulerFrame::PulseEcho { stamp: *stamp, log_time_ms: 9_000 }).await,
                _ => {}
            }
            if let Some(t) = wanted(&f) {
                return t;
            }
        }
    }
}

fn worker(address: String) -> WorkerSummary {
    let (service, kind, rack, zone) = ("s".into(), "new".into(), "r".into(), "z1".into());
    WorkerSummary {
        name: WORKER.into(),
        address,
        boot_id: "b1".into(),
        service,
        kind,
        rack,
        zone,
        cpu_millis: 1,
        memory_mb: 1,
        gateway: Some("g1".into()),
        reachable: true,
        assignment: 1,
        ..WorkerSummary::default()
    }
}

/// Sends one request as text and gives the whole response.
async fn raw(to: SocketAddr, head: &str, body: &str) -> String {
    let mut s = TcpStream::connect(to).await.unwrap();
    let text = format!("{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    s.write_all(text.as_bytes()).await.unwrap();
    let mut all = Vec::new();
    s.read_to_end(&mut all).await.unwrap();
    String::from_utf8(all).unwrap()
}

/// A worker that starts what it is told, wishes to drain, and keeps a hold that has seen its list.
fn worker_routes(started: mpsc::Sender<StartOrder>) -> Router {
    let start = move |mut r: Request| {
        let started = started.clone();
        async move {
            let o: StartOrder = r.json().await.unwrap();
            let a = StartAnswer { attempt: o.attempt, result: StartResult::Started, boot_id: "b1".into(), clock_ms: None };
            started.send(o).await.unwrap();
            viz::Result::Ok(answer_page(StatusCode::OK, &a, None))
        }
    };
    let hold = |mut r: Request| async move {
        let o: HoldOrder = r.json().await.unwrap();
        if o.seen > 0 {
            std::future::pending::<()>().await;
        }
        let (worker, boot_id) = (o.worker, "b1".into());
        let a = HoldAnswer {
            worker,
            boot_id,
            change: 1,
            draining: true,
            unchanged: false,
            running: vec![],
            ended: EndList::default(),
            ..HoldAnswer::default()
        };
        viz::Result::Ok(answer_page(StatusCode::OK, &a, None))
    };
    Router::new().post("/start", start).post("/hold", hold)
}

#[test]
fn calls_starts_and_holds_go_through_a_whole_daemon() {
    daemon_runtime(2).unwrap().block_on(async {
        let schedulers = listen("127.4.0.2:0".parse().unwrap()).await.unwrap();
        let workers = TcpListener::bind("127.4.0.3:0").await.unwrap();
        let http = TcpListener::bind("127.4.0.1:0").await.unwrap();
        let (at, worker_at) = (http.local_addr().unwrap(), workers.local_addr().unwrap().to_string());
        let (started, mut starts) = mpsc::channel(8);
        tokio::spawn(viz::serve(workers, worker_routes(started)).into_future());
        let settings = DaemonSettings {
            node_name: "g1".into(),
            listen_http: at,
            listen_internal: "127.4.0.1:1".parse().unwrap(),
            seeds: vec![schedulers.address],
            ..DaemonSettings::default()
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let gateway =
            tokio::spawn(GatewayProcess::serve(settings, MetricsPage::install().unwrap(), http, async move { drop(stopped.await) }));

        let c = schedulers.next().await.unwrap();
        assert_eq!(c.peer.ip(), at.ip());
        let c = c.open(Duration::from_secs(20)).await.unwrap();
        let mut s = Scheduler { sink: c.sink, stream: c.stream };
        s.until(|f| matches!(f, GatewayFrame::Pulse { .. }).then_some(())).await;

        // A start leaves for the worker, and its proof comes back as a fact, like the worker's wish to drain.
        let attempt: AttemptId = "1.0.0.1".parse().unwrap();
        let order = StartOrder {
            checkpoint: None,
            lease_until_ms: None,
            estimate_ms: 0,
            gang_by_ms: None,
            attempt,
            fence: 1,
            worker: WORKER.into(),
            job_name: "j1".into(),
            service: "s".into(),
            cpu_millis: 1,
            memory_mb: 1,
            run_until_cancelled: false,
            payload: Payload::default(),
            intended_at_ms: 9_000,
            time_budget_ms: 60_000,
        };
        let job = JobSummary {
            job: 1,
            name: "j 1".into(),
            queue: "q".into(),
            state: JobState::Running,
            urgency: 1,
            tasks: TaskCounts::default(),
            failures: 0,
            accepted_at_ms: 1,
            ended_at_ms: None,
        };
        let update = ViewUpdate {
            reset: true,
            upto: 5,
            workers: vec![worker(worker_at)],
            jobs: vec![job],
            starts: vec![order.clone()],
            ..Default::default()
        };
        s.send(SchedulerFrame::Update(update)).await;
        assert_eq!(starts.recv().await.unwrap(), order);
        let (mut start_told, mut drain_told) = (false, false);
        while !(start_told && drain_told) {
            let facts = s.until(|f| if let GatewayFrame::Facts { facts, .. } = f { Some(facts.clone()) } else { None }).await;
            start_told |= facts.iter().any(|f| f.started == [attempt]);
            drain_told |= facts.iter().any(|f| f.draining == Some(true));
        }

        // A call goes to the scheduler and its answer to the caller.
        let spec = serde_json::to_string(&JobSpec::single("j2", "q", "s", 1, 1, 1)).unwrap();
        let submit = tokio::spawn(async move { raw(at, "POST /v1/jobs", &spec).await });
        let request = s.until(|f| if let GatewayFrame::Ask { request, .. } = f { Some(*request) } else { None }).await;
        let answer = JobAccepted { name: "j2".into(), job: 2, state: JobState::Waiting, already: false };
        s.send(SchedulerFrame::Answer { request, result: Ok(AnswerBody::SubmitJob(answer)) }).await;
        let page = submit.await.unwrap();
        assert!(page.starts_with("HTTP/1.1 201") && page.contains(r#""job":2"#), "{page}");

        // An error has its status, kind, words and hint.
        let why = tokio::spawn(async move { raw(at, "GET /v1/jobs/j2/why", "").await });
        let request = s.until(|f| if let GatewayFrame::Ask { request, .. } = f { Some(*request) } else { None }).await;
        s.send(SchedulerFrame::Answer { request, result: Err(CallError::NoLeader { retry_after_ms: 1_500 }) }).await;
        let page = why.await.unwrap();
        assert!(page.starts_with("HTTP/1.1 503") && page.contains("retry-after: 2"), "{page}");
        assert!(page.contains(r#""error":"no_leader""#) && page.contains(r#""message":"#), "{page}");

        // What a gateway can tell alone needs no scheduler.
        let page = raw(at, "POST /v1/jobs", r#"{"name":"a","queue":"q","service":"s","steps":[]}"#).await;
        assert!(page.starts_with("HTTP/1.1 400") && page.contains(r#""path":"steps""#), "{page}");
        let page = raw(at, "GET /v1/jobs?limit=x&stat=1", "").await;
        assert!(page.starts_with("HTTP/1.1 400") && page.contains("?stat"), "{page}");
        assert!(raw(at, "GET /v1/nothing", "").await.starts_with("HTTP/1.1 404"));
        assert!(raw(at, "GET /healthz", "").await.contains(r#""node":"g1""#));
        let page = raw(at, "GET /metrics", "").await;
        assert!(
            page.contains("process_resident_memory_bytes") && page.contains("gateway_calls_total{call=\"SubmitJob\",status=\"201\"}"),
            "{page}"
        );

        // Reads come from the view while pulses come back; what is forwarded is answered with an error.
        let scheduler = tokio::spawn(async move {
            loop {
                let request = s.until(|f| if let GatewayFrame::Ask { request, .. } = f { Some(*request) } else { None }).await;
                s.send(SchedulerFrame::Answer { request, result: Err(CallError::NoLeader { retry_after_ms: 1 }) }).await;
            }
        });
        let mut page = String::new();
        while !page.contains("x-view-age-ms") {
            page = raw(at, "GET /v1/jobs/j%201", "").await;
        }
        assert!(page.starts_with("HTTP/1.1 200") && page.contains(r#""name":"j 1""#), "{page}");
        assert!(raw(at, "GET /v1/jobs/j%201?steps=1", "").await.starts_with("HTTP/1.1 503"));
        drop(stop);
        gateway.await.unwrap();
        scheduler.abort();
    });
}
