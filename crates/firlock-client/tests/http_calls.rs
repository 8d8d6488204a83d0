//! Each call's way over HTTP.
use firlock_client::prelude::*;

fn n(s: &str) -> Name {
    s.to_owned()
}

#[test]
fn every_call_has_its_method_path_and_query() {
    let spec = JobSpec::single("a", "q", "booking", 1, 1, 1);
    let all = [
        (SubmitJob { spec }.into_body(), "POST /v1/jobs"),
        (CancelJob { name: n("a b") }.into_body(), "POST /v1/jobs/a%20b/cancel"),
        (GetJob { name: n("a/../b") }.into_body(), "GET /v1/jobs/a%2F..%2Fb"),
        (
            ListJobs { queue: Some(n("q&r")), state: Some(JobState::Waiting), after: Some(4), limit: Some(5) }.into_body(),
            "GET /v1/jobs?queue=q%26r&state=waiting&after=4&limit=5",
        ),
        (ListJobs::default().into_body(), "GET /v1/jobs"),
        (ExplainJob { name: n("a") }.into_body(), "GET /v1/jobs/a/why"),
        (DrainWorker { name: n("w"), on: true, order_id: None, ..DrainWorker::default() }.into_body(), "POST /v1/workers/w/drain"),
        (RemoveWorker { name: n("w"), declare_lost: true }.into_body(), "POST /v1/workers/w/remove"),
        (ListWorkers { zone: Some(n("z1")) }.into_body(), "GET /v1/workers?zone=z1"),
        (EvacuateZone { zone: n("z1"), on: true, order_id: n("o") }.into_body(), "POST /v1/zones/z1/evacuate"),
        (GetConfiguration {}.into_body(), "GET /v1/config"),
        (PutConfiguration { base_version: 1, change_id: n("c"), tree: Payload(json!({})), source: None }.into_body(), "PUT /v1/config"),
        (GetConfigurationHistory { limit: Some(2) }.into_body(), "GET /v1/config/history?limit=2"),
        (GetEffectiveSettings { zone: n("z"), queue: n("q") }.into_body(), "GET /v1/config/effective?zone=z&queue=q"),
        (ListQueues {}.into_body(), "GET /v1/queues"),
        (ListMembers {}.into_body(), "GET /v1/members"),
        (RemoveMember { id: 3 }.into_body(), "POST /v1/members/3/remove"),
        (TransferLeadership { id: 3 }.into_body(), "POST /v1/members/3/lead"),
        (GetClusterStatus {}.into_body(), "GET /v1/status"),
    ];
    for (call, wanted) in all {
        let r = encode_call(&call);
        assert_eq!(format!("{} {}", r.method.word(), r.target), wanted);
        assert_eq!(r.body.is_empty(), r.method == Method::Get, "{wanted}");
    }
}

#[test]
fn bodies_are_the_calls_own_json() {
    let spec = JobSpec::single("a", "q", "booking", 1, 1, 1);
    let r = SubmitJob { spec: spec.clone() }.request();
    assert_eq!(serde_json::from_slice::<JobSpec>(&r.body).unwrap(), spec);
    let put = PutConfiguration { base_version: 1, change_id: n("c"), tree: Payload(json!({"settings": {}})), source: None };
    assert_eq!(serde_json::from_slice::<PutConfiguration>(&put.request().body).unwrap(), put);
}

#[test]
fn answers_are_decoded_as_their_calls_answer() {
    let a = JobCancelled { name: n("a"), state: JobState::Cancelled };
    let call = CancelJob { name: n("a") }.into_body();
    assert_eq!(decode_answer(&call, json!(a).to_string().as_bytes()).unwrap(), AnswerBody::CancelJob(a));
    assert!(decode_answer(&call, b"{}").is_err());
}
