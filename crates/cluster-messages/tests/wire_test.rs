use cluster_messages::prelude::*;

#[test]
fn any_bytes_are_a_message_or_a_typed_error() {
    bolero::check!().with_iterations(4_000).for_each(|b: &[u8]| {
        if let Ok(f) = GatewayFrame::from_bytes(b) {
            assert_eq!(GatewayFrame::from_bytes(&f.to_bytes()).unwrap(), f);
        }
        let _ = SchedulerFrame::from_bytes(b);
    });
}

#[test]
fn another_version_is_named() {
    let mut b = GatewayFrame::WantConfiguration.to_bytes();
    b[0] = 9;
    assert!(matches!(GatewayFrame::from_bytes(&b), Err(WireError::Version { found: 9 })));
}

#[test]
fn a_job_goes_through_json_and_frames_whole() {
    let mut spec = JobSpec::single("n", "q", "s", 3, 10, 20);
    spec.steps[0].payload = Payload(serde_json::json!({"run_ms": 5, "deep": [1, {"a": null}]}));
    let text = serde_json::to_string(&SubmitJob { spec: spec.clone() }).unwrap();
    assert_eq!(serde_json::from_str::<SubmitJob>(&text).unwrap().spec, spec);
    let ask = GatewayFrame::Ask { request: 1, time_budget_ms: 9, body: SubmitJob { spec }.into_body() };
    assert_eq!(GatewayFrame::from_bytes(&ask.to_bytes()).unwrap(), ask);
}

#[test]
fn unknown_fields_and_circles_are_faults() {
    assert!(serde_json::from_str::<JobSpec>(r#"{"name":"a","queue":"q","service":"s","steps":[],"x":1}"#).is_err());
    let mut s = JobSpec::single("a", "q", "s", 1, 1, 1);
    let mut t = s.steps[0].clone();
    t.name = "two".into();
    t.after = vec!["main".into()];
    s.steps[0].after = vec!["two".into()];
    s.steps.push(t);
    assert_eq!(s.faults().len(), 1);
}
