//! What the doctor finds in what was seen.
mod fleet;

use firlock_client::prelude::*;
use fleet::{cluster, member, queue, worker};

fn gateway(address: &str) -> GatewayEvidence {
    GatewayEvidence {
        address: address.into(),
        health: Some(200),
        status: Some(cluster()),
        configuration: Some(3),
        view_age_ms: Some(40),
        skew: Some((300, 500)),
        metrics: Some(MetricsPage::read("process_resident_memory_bytes 1000\nchannel_inbox_full_total 0\n")),
        ..GatewayEvidence::default()
    }
}

fn healthy() -> Evidence {
    Evidence {
        gateways: vec![gateway("a"), gateway("b")],
        members: Some(MemberList { term: 4, members: vec![member(1, true), member(2, false), member(3, false)] }),
        workers: Some(vec![worker("w1"), worker("w2")]),
        queues: Some(vec![queue("table-holds")]),
        ..Evidence::default()
    }
}

fn status(e: &mut Evidence) -> &mut ClusterStatus {
    e.gateways.truncate(1);
    e.gateways[0].status.as_mut().unwrap()
}

fn members(e: &mut Evidence) -> &mut Vec<MemberSummary> {
    &mut e.members.as_mut().unwrap().members
}

fn first_worker(e: &mut Evidence) -> &mut WorkerSummary {
    &mut e.workers.as_mut().unwrap()[0]
}

fn first_queue(e: &mut Evidence) -> &mut QueueUse {
    &mut e.queues.as_mut().unwrap()[0]
}

#[test]
fn a_healthy_fleet_has_no_findings() {
    assert_eq!(diagnose(&healthy(), &DoctorLimits::default()), []);
}

#[test]
fn each_fault_is_found_under_its_name() {
    type Spoil = fn(&mut Evidence);
    let all: &[(&str, Severity, Spoil)] = &[
        ("gateway-unreachable", Severity::Fault, |e| e.gateways[1].unreachable = Some("refused".into())),
        ("gateway-unhealthy", Severity::Warning, |e| e.gateways[1].health = Some(503)),
        ("no-leader-seen", Severity::Fault, |e| {
            (e.gateways[1].status, e.gateways[1].status_error) = (None, Some("no elected scheduler".into()))
        }),
        ("gateway-silent", Severity::Warning, |e| status(e).gateways[0].alive = false),
        ("leaders-differ", Severity::Warning, |e| e.gateways[1].status.as_mut().unwrap().term = 5),
        ("configurations-differ", Severity::Warning, |e| e.gateways[1].configuration = Some(2)),
        ("clusters-differ", Severity::Fault, |e| e.gateways[1].status.as_mut().unwrap().cluster = "harwick".into()),
        ("view-old", Severity::Warning, |e| e.gateways[0].view_age_ms = Some(3_001)),
        ("clock-skew", Severity::Warning, |e| e.gateways[0].skew = Some((-2_600, 500))),
        ("unread", Severity::Fault, |e| e.unread.push(("queues", "no answer".into()))),
        ("quorum-thin", Severity::Fault, |e| members(e).truncate(2)),
        ("quorum-lost", Severity::Fault, |e| members(e)[1..].iter_mut().for_each(|m| m.silent_ms = None)),
        ("voters-even", Severity::Notice, |e| members(e).push(member(4, false))),
        ("member-silent", Severity::Warning, |e| members(e)[2].silent_ms = Some(3_001)),
        ("learner-behind", Severity::Notice, |e| members(e).push(MemberSummary { role: "learner".into(), matched: 5, ..member(9, false) })),
        ("member-behind", Severity::Warning, |e| members(e)[0].matched = 5_000),
        ("two-leaders", Severity::Fault, |e| members(e)[1].leader = true),
        ("no-workers", Severity::Fault, |e| e.workers = Some(Vec::new())),
        ("worker-unheld", Severity::Warning, |e| first_worker(e).gateway = None),
        ("worker-silent", Severity::Warning, |e| first_worker(e).reachable = false),
        ("worker-shunned", Severity::Warning, |e| first_worker(e).shun_level = 2),
        ("worker-drained", Severity::Notice, |e| (first_worker(e).draining, first_worker(e).attempts) = (true, 0)),
        ("zone-evacuated", Severity::Notice, |e| status(e).evacuated_zones = vec!["z1".into()]),
        ("zone-forgotten", Severity::Warning, |e| {
            first_queue(e).tasks = 0;
            (status(e).evacuated_zones, status(e).waiting_tasks) = (vec!["z1".into()], 5);
        }),
        ("queue-over-cap", Severity::Warning, |e| first_queue(e).used_cpu_millis = 9_001),
        ("queue-at-cap", Severity::Notice, |e| (first_queue(e).used_cpu_millis, first_queue(e).waiting_jobs) = (9_000, 1)),
        ("queue-without-workers", Severity::Fault, |e| {
            first_queue(e).waiting_jobs = 1;
            e.kinds.insert(("z1".into(), "table-holds".into()), vec!["old".into()]);
        }),
        ("job-waits", Severity::Notice, |e| {
            e.explanations.push(JobExplanation { name: "a".into(), state: JobState::Waiting, reasons: vec!["no room".into()] });
        }),
        ("calls-shed", Severity::Notice, |e| {
            e.gateways[0].metrics = Some(MetricsPage::read("gateway_calls_shed_total{limit=\"inbox\"} 2\n"))
        }),
        ("memory-high", Severity::Warning, |e| e.gateways[0].metrics = Some(MetricsPage::read("process_resident_memory_bytes 6e8\n"))),
    ];
    for (code, severity, spoil) in all {
        let mut e = healthy();
        spoil(&mut e);
        let found = diagnose(&e, &DoctorLimits::default());
        let f = found.iter().find(|f| f.code == *code).unwrap_or_else(|| panic!("{code} is not among {found:?}"));
        assert_eq!(f.severity, *severity, "{code}");
        assert!(!f.subject.is_empty() && !f.meaning.is_empty() && !f.advice.is_empty());
        assert!(found.windows(2).all(|w| w[0].severity >= w[1].severity), "the gravest come first");
    }
}

#[test]
fn a_queue_that_one_zone_can_serve_is_not_without_workers() {
    let mut e = healthy();
    first_queue(&mut e).waiting_jobs = 1;
    e.kinds.insert(("z2".into(), "table-holds".into()), vec!["old".into()]);
    e.kinds.insert(("z1".into(), "table-holds".into()), vec!["new".into()]);
    assert_eq!(diagnose(&e, &DoctorLimits::default()), []);
    e.workers.iter_mut().flatten().for_each(|w| w.draining = true);
    assert_eq!(diagnose(&e, &DoctorLimits::default())[0].code, "queue-without-workers");
}
