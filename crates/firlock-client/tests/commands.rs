//! The tool against a gateway on loopback.
mod fleet;
mod stand_in;

use firlock_client::prelude::*;
use stand_in::*;

/// A file that is removed with its guard.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, v: &Value) -> Self {
        let p = std::env::temp_dir().join(format!("firlock-client-{}-{name}", std::process::id()));
        std::fs::write(&p, v.to_string()).unwrap();
        File(p)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).ok();
    }
}

#[tokio::test]
async fn each_reading_subcommand_prints_a_table_and_json() {
    let (g, _) = serve(healthy()).await;
    let all: &[(&[&str], &str)] = &[
        (&["status", "hold-1"], "7.0.0.1"),
        (&["list", "--queue", "table-holds", "--state", "succeeded", "--limit", "5"], "hold-1"),
        (&["why", "hold-1"], "no worker of kind new has room"),
        (&["workers", "--zone", "z1"], "0.5/16.0"),
        (&["config", "get"], "version 3"),
        (&["config", "history"], "more-holds"),
        (&["config", "effective", "z1", "table-holds"], "zone"),
        (&["queues"], "table-holds"),
        (&["members"], "leader"),
        (&["gateways"], "alive"),
        (&["cluster"], "configuration"),
    ];
    for (line, wanted) in all {
        let (code, out, err) = firlock(&g, line).await;
        assert_eq!((code, err.as_str()), (ExitCode::Ok, ""), "{line:?}");
        assert!(out.contains(wanted), "{line:?}: {out}");
        let (code, out, _) = firlock(&g, &[line, &["--json"][..]].concat()).await;
        assert_eq!(code, ExitCode::Ok);
        serde_json::from_str::<Value>(&out).unwrap_or_else(|e| panic!("{line:?}: {e}: {out}"));
    }
}

#[tokio::test]
async fn each_ordering_subcommand_sends_its_order() {
    let (g, state) = serve(healthy()).await;
    let all: &[(&[&str], &str, &str)] = &[
        (&["cancel", "hold-1"], "/v1/jobs/hold-1/cancel", r#"{"name":"hold-1"}"#),
        (&["drain", "w1", "--order-id", "d1"], "/v1/workers/w1/drain", r#"{"name":"w1","on":true,"order_id":"d1"}"#),
        (&["drain", "w1", "--off", "--order-id", "d2"], "/v1/workers/w1/drain", r#"{"name":"w1","on":false,"order_id":"d2"}"#),
        (&["remove", "w1"], "/v1/workers/w1/remove", r#"{"name":"w1","declare_lost":false}"#),
        (&["remove", "w1", "--declare-lost"], "/v1/workers/w1/remove", r#"{"name":"w1","declare_lost":true}"#),
        (&["evacuate", "z1", "--order-id", "o1"], "/v1/zones/z1/evacuate", r#"{"zone":"z1","on":true,"order_id":"o1"}"#),
        (&["evacuate", "z1", "--off", "--order-id", "o2"], "/v1/zones/z1/evacuate", r#"{"zone":"z1","on":false,"order_id":"o2"}"#),
        (&["members", "remove", "3"], "/v1/members/3/remove", r#"{"id":3}"#),
        (&["members", "lead", "2"], "/v1/members/2/lead", r#"{"id":2}"#),
    ];
    for (line, target, body) in all {
        let (code, out, err) = firlock(&g, line).await;
        assert_eq!((code, err.as_str()), (ExitCode::Ok, ""), "{line:?}");
        assert!(!out.is_empty());
        let s = state.lock().unwrap();
        let (m, t, b, budget) = s.seen.last().unwrap();
        assert_eq!((m.as_str(), t.as_str(), b.as_str(), budget.as_str()), ("POST", *target, *body, "4500"));
    }
}

#[tokio::test]
async fn submit_takes_one_job_or_many_and_waits_if_asked() {
    let (g, state) = serve(healthy()).await;
    let job = |n: &str| json!(JobSpec::single(n, "table-holds", "booking", 1, 500, 256));
    let one = File::new("one.json", &job("a"));
    let many = File::new("many.json", &json!([job("b"), job("c")]));
    let (code, out, _) = firlock(&g, &["submit", one.path()]).await;
    assert_eq!((code, out.as_str()), (ExitCode::Ok, "a accepted as job 7\n"));
    let (_, out, _) = firlock(&g, &["submit", one.path()]).await;
    assert_eq!(out, "a accepted as job 7 (already)\n");
    let (code, out, _) = firlock(&g, &["submit", many.path(), "--wait", "--every", "1"]).await;
    assert_eq!((code, out.as_str()), (ExitCode::Ok, "b: succeeded\nc: succeeded\n"));
    assert_eq!(state.lock().unwrap().jobs.len(), 4);
}

#[tokio::test]
async fn watch_prints_changes_alone_and_outlives_a_leaderless_moment() {
    let (g, state) = serve(healthy()).await;
    state.lock().unwrap().errors = vec![CallError::NoLeader { retry_after_ms: 1 }; 15];
    let (code, out, err) = firlock(&g, &["watch", "hold-1", "--every", "1", "--budget", "200"]).await;
    assert_eq!((code, err.as_str()), (ExitCode::Ok, ""));
    assert_eq!(out, "hold-1: running (1 running)\nhold-1: succeeded (1 running)\n");
}

#[tokio::test]
async fn config_put_builds_on_the_file_the_option_or_the_version_in_force() {
    let (g, state) = serve(healthy()).await;
    let tree = json!({"settings": {"urgency": 4}});
    let bare = File::new("bare.json", &tree);
    let (code, out, _) = firlock(&g, &["config", "put", bare.path()]).await;
    assert!(code == ExitCode::Ok && out.starts_with("change id change-") && out.contains("base 3\nversion 4"), "{out}");
    let (_, got, _) = firlock(&g, &["config", "get", "--json"]).await;
    let whole = File::new("whole.json", &serde_json::from_str(&got).unwrap());
    let (code, out, _) = firlock(&g, &["config", "put", whole.path(), "--change-id", "c9"]).await;
    assert!(code == ExitCode::Ok && out.starts_with("change id c9, base 4\nversion 5"), "{out}");
    let (code, _, err) = firlock(&g, &["config", "put", whole.path()]).await;
    assert!(code == ExitCode::Error && err.contains("base version 4 is not the current version 5"), "{err}");
    let (code, ..) = firlock(&g, &["config", "put", whole.path(), "--base", "5"]).await;
    assert_eq!((code, state.lock().unwrap().version), (ExitCode::Ok, 6));
}

#[tokio::test]
async fn config_diff_and_plan_show_changes_and_faults_before_anything_is_sent() {
    let (g, state) = serve(healthy()).await;
    let mut tree = state.lock().unwrap().tree.clone();
    tree["settings"] = json!({"share": 2.0});
    let file = File::new("diff.json", &tree);
    let (code, out, _) = firlock(&g, &["config", "diff", file.path(), "--json"]).await;
    assert_eq!(code, ExitCode::Ok);
    assert_eq!(serde_json::from_str::<Value>(&out).unwrap()[0]["path"], "/settings");
    let patch = File::new("patch.json", &json!([{"op": "add", "path": "/settings", "value": {"share": 2.0}}]));
    let (code, out, _) = firlock(&g, &["config", "plan", patch.path()]).await;
    assert!(code == ExitCode::Ok && out.contains("settings.share: 2.0 is added (changes 1 queue)"), "{out}");
    assert_eq!(state.lock().unwrap().version, 3);
    let (code, ..) = firlock(&g, &["config", "plan", patch.path(), "--apply"]).await;
    assert_eq!((code, state.lock().unwrap().version), (ExitCode::Ok, 4));
    let spoilt = File::new("spoilt.json", &json!({"settings": {"urgency": 42, "no_such": 1}}));
    let (code, _, err) = firlock(&g, &["config", "put", spoilt.path()]).await;
    assert!(code == ExitCode::Error && err.contains("settings.urgency") && err.contains("settings.no_such"), "{err}");
    let unfit = File::new("unfit.json", &json!([{"op": "remove", "path": "/nothing"}]));
    assert_eq!(firlock(&g, &["config", "plan", unfit.path()]).await.0, ExitCode::Error);
    assert_eq!(state.lock().unwrap().version, 4);
}

#[tokio::test]
async fn exit_codes_and_plain_words_tell_errors_apart() {
    let (g, _) = serve(healthy()).await;
    let (gone, _held) = nobody();
    let all: &[(&str, &[&str], ExitCode, &str)] = &[
        (&g, &["status", "no-such"], ExitCode::Error, "no job named no-such"),
        (&g, &["status"], ExitCode::Usage, "usage: firlock status JOB"),
        (&g, &["members", "lead", "x"], ExitCode::Usage, "\"x\" is no id of a member"),
        (&g, &["list", "--state", "odd"], ExitCode::Usage, "\"odd\" is no state of a job"),
        (&g, &["list", "--nothing"], ExitCode::Usage, "nothing"),
        (&g, &["submit", "no-such-file"], ExitCode::Usage, "no-such-file"),
        (&g, &["fly"], ExitCode::Usage, "there is no subcommand \"fly\""),
        ("", &["queues"], ExitCode::Usage, "no gateway is named"),
        (&gone, &["queues", "--budget", "50"], ExitCode::Unreachable, "no gateway could be reached"),
        (&gone, &["doctor", "--budget", "50"], ExitCode::Unreachable, ""),
    ];
    for (gateway, line, wanted, words) in all {
        let (code, _, err) = firlock(gateway, line).await;
        assert_eq!(code, *wanted, "{line:?}: {err}");
        assert!(err.contains(words), "{line:?}: {err}");
    }
    let (_, _, err) = firlock(&g, &["status", "no-such", "--json"]).await;
    assert_eq!(serde_json::from_str::<CallError>(&err).unwrap(), CallError::NotFound { what: "job".into(), name: "no-such".into() });
}

#[tokio::test]
async fn each_subcommand_has_help_with_an_example_and_stands_in_the_overview() {
    let (code, all, _) = firlock("", &["--help"]).await;
    assert_eq!(code, ExitCode::Ok);
    for c in COMMANDS {
        let (code, out, _) = firlock("", &[c.name, "--help"]).await;
        assert_eq!(code, ExitCode::Ok);
        assert!(out.contains(c.example) && out.contains("--gateways") && out.contains("Exit codes"), "{out}");
        assert!(include_str!("../../../docs/CLIENT.md").contains(c.example), "{}", c.example);
        assert!(c.example.starts_with(&format!("firlock {}", c.name)) && all.contains(c.usage));
    }
}

#[tokio::test]
async fn the_gateways_option_wins_over_the_environment_and_dead_ones_are_passed_over() {
    let (g, _) = serve(healthy()).await;
    let (gone, _held) = nobody();
    let list = format!("{gone}, {g}");
    let (code, ..) = firlock("127.0.0.1:1", &["queues", "--gateways", &list]).await;
    assert_eq!(code, ExitCode::Ok);
}

#[tokio::test]
async fn the_doctor_is_content_with_a_healthy_fleet_and_names_what_is_wrong() {
    let (g, state) = serve(healthy()).await;
    let (code, out, _) = firlock(&g, &["doctor"]).await;
    assert_eq!((code, out.as_str()), (ExitCode::Ok, "1 gateways asked: 0 faults and warnings, 0 notices\n"));
    {
        let mut s = state.lock().unwrap();
        s.members[2].silent_ms = Some(60_000);
        s.queues[0].waiting_jobs = 3;
        s.metrics = "process_resident_memory_bytes 9e9\ncalls_shed_total{limit=\"inbox\"} 4\n".into();
    }
    let (gone, _held) = nobody();
    let (code, out, _) = firlock(&format!("{g},{gone}"), &["doctor", "--json"]).await;
    assert_eq!(code, ExitCode::Error);
    let v: Vec<Value> = serde_json::from_str(&out).unwrap();
    let codes: Vec<&str> = v.iter().map(|f| f["code"].as_str().unwrap()).collect();
    // Kinds come from the stand-in's effective settings: old, while its one worker is new.
    let wanted = ["gateway-unreachable", "quorum-thin", "queue-without-workers", "member-silent", "memory-high", "calls-shed"];
    assert_eq!(codes, wanted);
}

#[tokio::test]
async fn status_asks_for_steps_and_makes_do_without_them() {
    let (g, state) = serve(healthy()).await;
    state.lock().unwrap().errors = vec![CallError::NoLeader { retry_after_ms: 60_000 }];
    let (code, ..) = firlock(&g, &["status", "hold-1"]).await;
    let targets: Vec<String> = state.lock().unwrap().seen.iter().map(|s| s.1.clone()).collect();
    assert_eq!((code, targets), (ExitCode::Ok, vec!["/v1/jobs/hold-1?steps=1".to_owned(), "/v1/jobs/hold-1".to_owned()]));
}

#[tokio::test]
async fn without_a_leader_the_doctor_tells_that_one_fault() {
    let (g, state) = serve(healthy()).await;
    state.lock().unwrap().errors = vec![CallError::NoLeader { retry_after_ms: 1 }; 99];
    let (code, out, _) = firlock(&g, &["doctor", "--json"]).await;
    let v: Vec<Value> = serde_json::from_str(&out).unwrap();
    assert_eq!((code, v.len(), &v[0]["code"]), (ExitCode::Error, 1, &json!("no-leader-seen")));
}
