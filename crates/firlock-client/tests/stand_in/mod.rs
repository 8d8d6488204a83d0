//! A gateway on loopback that answers from memory and keeps what it was sent.

use crate::fleet::{cluster, member, queue, worker};
use firlock_client::prelude::*;
use std::future::IntoFuture;
use std::sync::Arc;
use tokio::net::TcpListener;
use viz::{IntoResponse, Response, ResponseExt, Router, StatusCode};

/// What it holds.
pub struct State {
    /// Requests: (method, target, body, time budget).
    pub seen: Vec<(String, String, String, String)>,
    /// Errors to answer with first.
    pub errors: Vec<CallError>,
    pub jobs: BTreeMap<Name, (JobSpec, JobState)>,
    pub version: u64,
    pub tree: Value,
    pub members: Vec<MemberSummary>,
    pub workers: Vec<WorkerSummary>,
    pub queues: Vec<QueueUse>,
    pub status: ClusterStatus,
    pub metrics: String,
}

pub type Shared = Arc<Mutex<State>>;

/// A healthy fleet of three schedulers and one worker, with one job that is running when first looked at.
pub fn healthy() -> State {
    State {
        jobs: BTreeMap::from([("hold-1".into(), (JobSpec::single("hold-1", "table-holds", "booking", 1, 500, 256), JobState::Running))]),
        version: 3,
        tree: json!({"regions": {"gujarat": {"zones": {"z1": {"queues": {"table-holds": {"settings": {"urgency": 8}}}}}}}}),
        members: vec![member(1, true), member(2, false), member(3, false)],
        workers: vec![worker("w1")],
        queues: vec![queue("table-holds")],
        status: cluster(),
        metrics: "process_resident_memory_bytes 1000\n".into(),
        seen: Vec::new(),
        errors: Vec::new(),
    }
}

fn summary(name: &str, spec: &JobSpec, state: JobState) -> JobSummary {
    JobSummary {
        job: 7,
        name: name.into(),
        queue: spec.queue.clone(),
        state,
        urgency: 8,
        tasks: TaskCounts { running: 1, ..TaskCounts::default() },
        failures: 0,
        accepted_at_ms: 5,
        ended_at_ms: None,
    }
}

impl State {
    /// Answers one request.
    fn answer(&mut self, method: &str, target: &str, body: &[u8]) -> Result<Value, CallError> {
        if let Some(e) = self.errors.pop() {
            return Err(e);
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.trim_start_matches("/v1/").split('/').collect();
        let none = |what: &str, name: &str| CallError::NotFound { what: what.into(), name: name.into() };
        Ok(match (method, &parts[..]) {
            ("POST", ["jobs"]) => {
                let spec: JobSpec = serde_json::from_slice(body).unwrap();
                let faults = spec.faults();
                if !faults.is_empty() {
                    return Err(CallError::Invalid { faults });
                }
                let name = spec.name.clone();
                let already = self.jobs.insert(name.clone(), (spec, JobState::Waiting)).is_some();
                json!(JobAccepted { name, job: 7, state: JobState::Waiting, already })
            }
            ("GET", ["jobs"]) => {
                let wanted = |s: &JobState| !query.contains("state=") || query.contains(&format!("state={}", s.word()));
                let jobs = self.jobs.iter().filter(|(_, (_, s))| wanted(s)).map(|(n, (j, s))| summary(n, j, *s)).collect();
                json!(JobList { jobs, next: Some(7) })
            }
            ("GET", ["jobs", name]) => {
                let (spec, state) = self.jobs.get_mut(*name).ok_or_else(|| none("job", name))?;
                let shown = *state;
                // Each look finds it one state further.
                *state = if shown == JobState::Waiting { JobState::Running } else { JobState::Succeeded };
                let steps = vec![StepStatus { name: "main".into(), waits_for: Vec::new(), tasks: TaskCounts::default() }];
                json!(JobStatus { summary: summary(name, spec, shown), steps, attempts: vec![("7.0.0.1".parse().unwrap(), "w1".into())] })
            }
            ("POST", ["jobs", name, "cancel"]) => json!(JobCancelled { name: (*name).into(), state: JobState::Cancelling }),
            ("GET", ["jobs", name, "why"]) => {
                let state = self.jobs.get(*name).ok_or_else(|| none("job", name))?.1;
                json!(JobExplanation { name: (*name).into(), state, reasons: vec!["no worker of kind new has room".into()] })
            }
            ("GET", ["workers"]) => json!(WorkerList { workers: self.workers.clone() }),
            ("POST", ["workers", name, "drain"]) => {
                let on = serde_json::from_slice::<DrainWorker>(body).unwrap().on;
                json!(WorkerDrained { name: (*name).into(), draining: on, attempts: 1 })
            }
            ("POST", ["workers", name, "remove"]) => json!(WorkerRemoved { name: (*name).into(), lost_attempts: 0 }),
            ("POST", ["zones", zone, "evacuate"]) => {
                let on = serde_json::from_slice::<EvacuateZone>(body).unwrap().on;
                json!(ZoneEvacuated { zone: (*zone).into(), on, already: false, attempts: 2 })
            }
            ("GET", ["config"]) => {
                json!(Configuration { version: self.version, digest: "d3".into(), tree: Payload(self.tree.clone()), source: None })
            }
            ("PUT", ["config"]) => {
                let c: PutConfiguration = serde_json::from_slice(body).unwrap();
                if c.base_version != self.version {
                    return Err(CallError::RacedBase { base: c.base_version, current: self.version });
                }
                if let Err(e) = tree::SettingsTree::from_value(&c.tree.0) {
                    let faults = e.faults.iter().map(|f| Fault::new(f.path.clone(), f.problem.to_string())).collect();
                    return Err(CallError::Invalid { faults });
                }
                (self.version, self.tree) = (self.version + 1, c.tree.0);
                json!(ConfigurationAccepted { version: self.version, digest: "d4".into(), already: false })
            }
            ("GET", ["config", "history"]) => {
                let c = ConfigurationChange { version: 3, change_id: "more-holds".into(), at_ms: 9, patch: Payload(json!([])) };
                json!(ConfigurationHistoryList { changes: vec![c] })
            }
            ("GET", ["config", "effective"]) => {
                let v = EffectiveValue { setting: "kinds".into(), value: Payload(json!(["old"])), origin: "zone".into() };
                json!(EffectiveSettings { zone: "z1".into(), queue: "table-holds".into(), version: 3, values: vec![v] })
            }
            ("GET", ["queues"]) => json!(QueueList { queues: self.queues.clone() }),
            ("GET", ["members"]) => json!(MemberList { term: 4, members: self.members.clone() }),
            ("POST", ["members", id, "remove" | "lead"]) => json!(MemberChanged { id: id.parse().unwrap() }),
            ("GET", ["status"]) => json!(self.status),
            _ => return Err(none("path", path)),
        })
    }
}

/// Serves a state on a free port of loopback.
pub async fn serve(state: State) -> (String, Shared) {
    let state = Arc::new(Mutex::new(state));
    let shared = state.clone();
    let page = move |mut r: viz::Request| {
        let state = shared.clone();
        async move {
            let method = r.method().to_string();
            let target = r.uri().path_and_query().map(|p| p.to_string()).unwrap_or_default();
            let budget = r.headers().get("x-time-budget-ms").map(|v| v.to_str().unwrap().to_owned()).unwrap_or_default();
            let body = viz::RequestExt::bytes(&mut r).await?;
            let mut s = state.lock().unwrap();
            match target.as_str() {
                "/healthz" => return Ok(Response::text("ok")),
                "/metrics" => return Ok(Response::text(s.metrics.clone())),
                _ => s.seen.push((method.clone(), target.clone(), String::from_utf8_lossy(&body).into_owned(), budget)),
            }
            Ok::<_, viz::Error>(match s.answer(&method, &target, &body) {
                Ok(v) => {
                    let mut r = Response::json(v)?;
                    r.headers_mut().insert("x-view-age-ms", 40.into());
                    r
                }
                Err(e) => {
                    let mut v = json!(e);
                    v["message"] = json!(e.to_string());
                    (StatusCode::from_u16(e.http_status()).unwrap(), Response::json(v)?).into_response()
                }
            })
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let router = Router::new().any("/*", page);
    tokio::spawn(viz::serve(listener, router).into_future());
    (address, state)
}

/// An address where nobody listens, and the socket that keeps it so.
pub fn nobody() -> (String, tokio::net::TcpSocket) {
    let s = tokio::net::TcpSocket::new_v4().unwrap();
    s.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    (s.local_addr().unwrap().to_string(), s)
}

/// Runs a command line against a gateway: (exit code, output, errors).
pub async fn firlock(gateway: &str, line: &[&str]) -> (ExitCode, String, String) {
    let line: Vec<String> = line.iter().map(|s| (*s).to_owned()).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = run_command(&line, Some(gateway.to_owned()), &mut out, &mut err).await;
    (code, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}
