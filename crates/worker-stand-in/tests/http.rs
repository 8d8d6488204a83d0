use worker_stand_in::prelude::*;

type Client = hyper_util::client::legacy::Client<hyper_util::client::legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;
type Calls = tokio::sync::mpsc::UnboundedSender<(String, Bytes)>;

/// A gateway that takes registrations and drains, and tells what it was sent.
async fn gateway(calls: Calls) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    let take = move |mut r: Request| {
        let calls = calls.clone();
        async move {
            let (path, body) = (r.path().to_owned(), r.bytes().await.unwrap());
            let on = path.ends_with("/drain") && serde_json::from_slice::<DrainWorker>(&body).is_ok_and(|d| d.on && d.order_id.is_some());
            calls.send((path, body)).unwrap();
            let answer = WorkerDrained { name: "w1".into(), draining: on, attempts: 0 };
            Ok::<_, viz::Error>(serde_json::to_vec(&answer).unwrap().into_response())
        }
    };
    let routes = Router::new().post("/v1/workers", take.clone()).post("/v1/workers/:worker/drain", take);
    tokio::spawn(viz::serve(l, routes).into_future());
    at
}

struct Caller {
    client: Client,
}

impl Caller {
    async fn call<T: DeserializeOwned>(&self, method: &str, at: SocketAddr, path: &str, body: serde_json::Value) -> T {
        let text = self.text(method, at, path, body).await;
        serde_json::from_slice(&text).unwrap()
    }

    async fn text(&self, method: &str, at: SocketAddr, path: &str, body: serde_json::Value) -> Bytes {
        let r = viz::Request::builder().method(method).uri(format!("http://{at}{path}"));
        let r = r.body(http_body_util::Full::from(body.to_string())).unwrap();
        let a = self.client.request(r).await.unwrap();
        http_body_util::BodyExt::collect(a.into_body()).await.unwrap().to_bytes()
    }
}

#[tokio::test]
async fn registers_runs_drains_and_tells_what_it_ran() {
    let (tx, mut calls) = tokio::sync::mpsc::unbounded_channel();
    let gateway = gateway(tx).await;
    let o = StandInOptions {
        workers: vec![WorkerIdentity::example("w1"), WorkerIdentity::example("w2")],
        gateways: vec![gateway.to_string()],
        control: SocketAddr::from(([127, 0, 0, 1], 0)),
        seed: 3,
    };
    let p = StandInProcess::start(o).await.unwrap();
    let mut registered = BTreeMap::new();
    while registered.len() < 2 {
        let (path, body) = calls.recv().await.unwrap();
        assert_eq!(path, "/v1/workers");
        let w: RegisterWorker = serde_json::from_slice(&body).unwrap();
        registered.insert(w.name.clone(), w);
    }
    let worker: SocketAddr = registered["w1"].address.parse().unwrap();
    let c = Caller { client: hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new()).build_http() };

    let start = StartOrder {
        checkpoint: None,
        lease_until_ms: None,
        estimate_ms: 0,
        gang_by_ms: None,
        attempt: "1.0.0.1".parse().unwrap(),
        fence: 1,
        worker: "w1".into(),
        job_name: "j".into(),
        service: "booking".into(),
        cpu_millis: 500,
        memory_mb: 100,
        run_until_cancelled: false,
        payload: serde_json::from_value(serde_json::json!({ "run_ms": 20 })).unwrap(),
        intended_at_ms: 0,
        time_budget_ms: 1_000,
    };
    let a: StartAnswer = c.call("POST", worker, "/start", serde_json::to_value(&start).unwrap()).await;
    assert_eq!((a.result, &a.boot_id), (StartResult::Started, &registered["w1"].boot_id));
    // The hold is kept until the run ends.
    let mut h = HoldAnswer {
        change: 0,
        ..c.call("POST", worker, "/hold", serde_json::json!({"worker": "w1", "gateway": "g", "seen": 0, "wait_ms": 0})).await
    };
    while h.ended.listed().is_empty() {
        h = c.call("POST", worker, "/hold", serde_json::json!({"worker": "w1", "gateway": "g", "seen": h.change, "wait_ms": 60_000})).await;
    }
    assert_eq!((h.ended.listed()[0].attempt, h.ended.listed()[0].outcome), (start.attempt, Outcome::Succeeded));
    let wrong: CallError = c.call("POST", worker, "/stop", serde_json::json!({"worker": "w2", "attempt": "1.0.0.1"})).await;
    assert_eq!(wrong, CallError::NotFound { what: "worker".into(), name: "w2".into() });

    let drained: DrainWorker = c.call("POST", p.control(), "/drain/w1", serde_json::json!({})).await;
    assert_eq!((drained.name.as_str(), drained.on), ("w1", true));
    let b: Behaviour = c.call("GET", p.control(), "/behaviour/w1", serde_json::json!({})).await;
    assert!(b.draining);
    let b: Behaviour = c.call("POST", p.control(), "/behaviour/w2", serde_json::json!({"fail_ratio": 1.0})).await;
    assert_eq!(b.fail_ratio, 1.0);
    let reborn: RegisterWorker = c.call("POST", p.control(), "/cold/w1", serde_json::json!({})).await;
    assert_ne!(reborn.boot_id, registered["w1"].boot_id);

    let lines = |b: Bytes| -> Vec<RecordedObservation> {
        let text = String::from_utf8(b.to_vec()).unwrap();
        text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
    };
    let all = lines(c.text("GET", p.control(), "/observations?after=0", serde_json::json!({})).await);
    let of_w1 = |o: &RecordedObservation| match &o.observation {
        Observation::RunStarted { .. } => Some("started"),
        Observation::RunEnded { .. } => Some("ended"),
        Observation::DrainSent { .. } => Some("drain sent"),
        Observation::DrainAnswered { .. } => Some("drained"),
        Observation::ResultLost { .. } => Some("forgot"),
        _ => None,
    };
    assert_eq!(all.iter().filter_map(of_w1).collect::<Vec<_>>(), ["started", "ended", "drain sent", "drained", "forgot", "drain sent"]);
    assert!(all.is_sorted_by_key(|o| (o.number, o.at)));
    let rest = lines(c.text("GET", p.control(), &format!("/observations?after={}", all.len() - 1), serde_json::json!({})).await);
    assert_eq!(rest.first(), all.last());
    p.run(std::future::ready(())).await;
}
