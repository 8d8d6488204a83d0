//! The executor and its control pages over loopback.
use caller_stand_in::prelude::*;
use firlock_client::{HttpRequest, Method, Transport};

/// A gateway that accepts every job and knows none.
async fn gateway() -> String {
    let page = |mut r: Request| async move {
        let spec: JobSpec = r.json().await?;
        let a = JobAccepted { name: spec.name, job: 1, state: JobState::Waiting, already: false };
        Ok::<_, viz::Error>((StatusCode::CREATED, Response::json(a)?).into_response())
    };
    listen(Router::new().post("/v1/jobs", page)).await
}

async fn listen(router: Router) -> String {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = l.local_addr().unwrap().to_string();
    tokio::spawn(serve(l, router).into_future());
    a
}

async fn page(at: &str, method: Method, target: &str, body: &'static str) -> (u16, Vec<u8>) {
    let r = HttpRequest { method, target: target.into(), body: body.into() };
    let a = HyperTransport::new(None).send(at, &r, 10_000).await.unwrap();
    (a.status, a.body.to_vec())
}

#[tokio::test]
async fn a_run_sends_jobs_and_hands_out_its_record_by_number() {
    let gateways = vec![gateway().await, gateway().await];
    let mut callers = CallerSettings::new(Profile::Thaali, gateways, 7);
    callers.rate = 20.0;
    let h = Arc::new(run(RunSettings { callers, operators: None, bind: Some("127.0.0.1".parse().unwrap()), epoch_unix_ms: 0 }));
    let control = listen(control_pages(h.clone())).await;
    let (mut all, mut answered): (Vec<RecordedObservation>, usize) = (Vec::new(), 0);
    while answered < 30 {
        let (status, body) = page(&control, Method::Get, &format!("/observations?after={}&limit=7", all.len()), "").await;
        let v: Vec<RecordedObservation> = serde_json::from_slice(&body).unwrap();
        assert!(status == 200 && v.len() <= 7);
        all.extend(v);
        answered = all.iter().filter(|o| matches!(&o.observation, Observation::JobAnswered { answer: Ok(_), .. })).count();
    }
    assert!(all.iter().enumerate().all(|(i, o)| o.number == i as u64 + 1));
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
    let (status, _) = page(&control, Method::Post, "/rate", r#"{"rate": 0}"#).await;
    assert_eq!(status, 204);
    assert_eq!(page(&control, Method::Post, "/rate", r#"{"rate": -1}"#).await.0, 400);
    for (target, body) in [("/read-again", ""), ("/cancel", r#"{"share": 0.1}"#), ("/burst", r#"{"stream": "plan", "jobs": 3}"#)] {
        assert_eq!(page(&control, Method::Post, target, body).await.0, 204);
    }
    assert_eq!(page(&control, Method::Post, "/burst", r#"{"jobs": 3}"#).await.0, 400);
    let (_, body) = page(&control, Method::Get, "/figures", "").await;
    assert!(serde_json::from_slice::<CallerFigures>(&body).unwrap().accepted >= 30);
}

#[test]
fn the_command_line_is_read_whole_and_faults_are_named() {
    let read = |s: &str| RunCommand::read(&s.split(' ').map(str::to_owned).collect::<Vec<_>>(), 5);
    let c = read("--profile target --gateways a:1,b:2 --seed 9 --operators --zones north:n1,n2;south:s1 --change-every 0 --timed-share 0.5 --epoch 3").unwrap();
    let o = c.settings.operators.unwrap();
    assert_eq!((o.regions["north"].len(), o.change_every_ms, o.seed), (2, 0, 9));
    assert_eq!((c.settings.callers.timed_share, c.settings.epoch_unix_ms, c.seconds), (0.5, 3, None));
    assert!(matches!(read("--profile odd --gateways a"), Err(RunError::Value { option: "profile", .. })));
    assert!(matches!(read("--profile thaali"), Err(RunError::Missing { option: "gateways" })));
    assert!(matches!(read("--profile thaali --gateways a --timed-share 2"), Err(RunError::Value { option: "timed-share", .. })));
    assert!(matches!(read("--profile thaali --gateways a --zones north"), Err(RunError::Value { option: "zones", .. })));
    assert!(matches!(read("--odd"), Err(RunError::CommandLine { .. })));
    assert!(matches!(read("--help"), Err(RunError::Help { .. })));
}
