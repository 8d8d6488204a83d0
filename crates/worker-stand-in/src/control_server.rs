use crate::prelude::*;

/// Observations handed out at once, at most.
const PAGE: usize = 10_000;

/// Query of `GET /observations`.
#[derive(Deserialize)]
struct ObservationsQuery {
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

/// Query of `POST /cold/{worker}`.
#[derive(Deserialize)]
struct ColdQuery {
    #[serde(default)]
    away_ms: Millis,
}

/// Query of `POST /drain/{worker}`.
#[derive(Deserialize)]
struct DrainQuery {
    on: Option<bool>,
}

/// One worker in `GET /workers`.
#[derive(Serialize)]
struct HostSummary {
    name: Name,
    address: String,
    boot_id: String,
    reach: Reach,
    running: usize,
}

/// All workers of the process, by name.
type Hosts = Arc<BTreeMap<Name, Arc<WorkerHost>>>;

fn host_of(hosts: &Hosts, req: &Request) -> Result<Arc<WorkerHost>, CallError> {
    let name: String = req.param("worker").map_err(|e| invalid("worker", e))?;
    hosts.get(&name).cloned().ok_or(CallError::NotFound { what: "worker".into(), name })
}

fn query<T: DeserializeOwned>(req: &Request) -> Result<T, CallError> {
    req.query().map_err(|e| invalid("query", e))
}

async fn get_behaviour(hosts: Hosts, req: Request) -> Result<Response, CallError> {
    let h = host_of(&hosts, &req)?;
    Ok(json_response(StatusCode::OK, &h.look(|m| m.behaviour().clone())))
}

async fn post_behaviour(hosts: Hosts, mut req: Request) -> Result<Response, CallError> {
    let h = host_of(&hosts, &req)?;
    let b: Behaviour = json_body(&mut req).await?;
    h.step(WorkerInput::Behave(b));
    Ok(json_response(StatusCode::OK, &h.look(|m| m.behaviour().clone())))
}

async fn post_cold(hosts: Hosts, req: Request) -> Result<Response, CallError> {
    let (h, q) = (host_of(&hosts, &req)?, query::<ColdQuery>(&req)?);
    let boot_id = h.new_boot_id();
    h.step(WorkerInput::Die { boot_id, away_ms: q.away_ms });
    Ok(json_response(StatusCode::OK, &h.look(|m| m.identity().clone())))
}

/// Answers when a gateway has acknowledged the drain. A caller that leaves before ends the attempts to announce it.
async fn post_drain(hosts: Hosts, req: Request) -> Result<Response, CallError> {
    let (h, q) = (host_of(&hosts, &req)?, query::<DrainQuery>(&req)?);
    let on = q.on.unwrap_or(true);
    let name = h.drain(on).await;
    Ok(json_response(StatusCode::OK, &DrainWorker { name, on, order_id: None, ..DrainWorker::default() }))
}

async fn get_observations(recorder: Arc<Recorder>, req: Request) -> Result<Response, CallError> {
    let q: ObservationsQuery = query(&req)?;
    let mut text = Vec::new();
    for o in recorder.read(q.after, q.limit.unwrap_or(PAGE).min(PAGE)) {
        text.extend(serde_json::to_vec(&o).unwrap_or_default());
        text.push(b'\n');
    }
    let mut r = text.into_response();
    r.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/x-ndjson"));
    Ok(r)
}

async fn get_workers(hosts: Hosts) -> Result<Response, CallError> {
    let list: Vec<HostSummary> = hosts
        .values()
        .map(|h| {
            h.look(|m| HostSummary {
                name: m.identity().name.clone(),
                address: m.identity().address.clone(),
                boot_id: m.identity().boot_id.clone(),
                reach: m.reach(),
                running: m.running().len(),
            })
        })
        .collect();
    Ok(json_response(StatusCode::OK, &list))
}

/// The fleet's own calls to the process.
pub(crate) fn control_routes(hosts: &Hosts, recorder: &Arc<Recorder>) -> Router {
    let h = || hosts.clone();
    let (a, b, c, d, e) = (h(), h(), h(), h(), h());
    let recorder = recorder.clone();
    Router::new()
        .get("/workers", move |_: Request| whole(get_workers(a.clone())))
        .get("/behaviour/:worker", move |r| whole(get_behaviour(b.clone(), r)))
        .post("/behaviour/:worker", move |r| whole(post_behaviour(c.clone(), r)))
        .post("/cold/:worker", move |r| whole(post_cold(d.clone(), r)))
        .post("/drain/:worker", move |r| whole(post_drain(e.clone(), r)))
        .get("/observations", move |r| whole(get_observations(recorder.clone(), r)))
}
