//! Parts of a healthy fleet.

use firlock_client::prelude::*;

pub fn worker(name: &str) -> WorkerSummary {
    let s = |t: &str| t.to_owned();
    WorkerSummary {
        name: s(name),
        address: s("127.0.0.9:1"),
        boot_id: s("b1"),
        service: s("booking"),
        kind: s("new"),
        rack: s("r1"),
        zone: s("z1"),
        cpu_millis: 16_000,
        memory_mb: 64_000,
        draining: false,
        gateway: Some(s("g1")),
        used_cpu_millis: 500,
        used_memory_mb: 256,
        attempts: 1,
        reachable: true,
        shun_level: 0,
        band: BandSummary { class: 2, state: s("open") },
        leased: false,
        assignment: 1,
    }
}

pub fn member(id: u64, leader: bool) -> MemberSummary {
    let silent_ms = (!leader).then_some(10);
    MemberSummary { id, address: format!("127.0.0.{id}:1"), role: "voter".into(), leader, matched: 90, silent_ms, zone: "z1".into() }
}

pub fn queue(name: &str) -> QueueUse {
    QueueUse {
        queue: name.into(),
        zone: "z1".into(),
        urgency: 8,
        share: 4.0,
        cap_tasks: 0,
        cap_cpu_millis: 9_000,
        tasks: 1,
        used_cpu_millis: 500,
        used_memory_mb: 256,
        waiting_jobs: 0,
    }
}

pub fn cluster() -> ClusterStatus {
    let gateway = GatewaySummary { name: "g1".into(), zone: "z1".into(), http_address: "127.0.0.1:1".into(), workers: 1, alive: true };
    ClusterStatus {
        cluster: "thaali".into(),
        leader: 1,
        leader_address: "127.0.0.1:1".into(),
        term: 4,
        commit_index: 90,
        log_time_ms: 1_000,
        configuration_version: 3,
        jobs: 1,
        waiting_tasks: 0,
        attempts: 1,
        evacuated_zones: Vec::new(),
        gateways: vec![gateway],
        workers: 1,
        state_digest: "d".into(),
    }
}
