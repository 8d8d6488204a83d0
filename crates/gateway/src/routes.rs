use crate::prelude::*;

/// What `/healthz` says.
#[derive(Serialize)]
struct Health<'a> {
    node: &'a str,
    leader: &'a Option<String>,
    view: u64,
    view_age_ms: Option<Millis>,
    configuration_version: u64,
}

/// The API: every call has the one generic handler.
pub fn routes(ports: &Arc<GatewayPorts>) -> Router {
    macro_rules! on {
        ($call:ty) => {
            CallHandler::<$call>::new(ports)
        };
    }
    let (health, page) = (ports.clone(), ports.page.clone());
    Router::new()
        .route("/v1/jobs", post(on!(SubmitJob)).get(on!(ListJobs)))
        .route("/v1/jobs/:name", get(on!(GetJob)))
        .route("/v1/jobs/:name/cancel", post(on!(CancelJob)))
        .route("/v1/jobs/:name/why", get(on!(ExplainJob)))
        .route("/v1/workers", get(on!(ListWorkers)).post(on!(RegisterWorker)))
        .route("/v1/workers/:name/drain", post(on!(DrainWorker)))
        .route("/v1/workers/:name/remove", post(on!(RemoveWorker)))
        .route("/v1/zones/:name/evacuate", post(on!(EvacuateZone)))
        .route("/v1/config", get(on!(GetConfiguration)).put(on!(PutConfiguration)))
        .route("/v1/config/history", get(on!(GetConfigurationHistory)))
        .route("/v1/config/effective", get(on!(GetEffectiveSettings)))
        .route("/v1/queues", get(on!(ListQueues)))
        .route("/v1/members", get(on!(ListMembers)))
        .route("/v1/members/:name/remove", post(on!(RemoveMember)))
        .route("/v1/members/:name/lead", post(on!(TransferLeadership)))
        .route("/v1/status", get(on!(GetClusterStatus)))
        .get("/metrics", move |_: Request| {
            let text = page.render();
            async move { viz::Result::Ok(text) }
        })
        .get("/healthz", move |_: Request| {
            let v = health.view.load();
            let h = Health {
                node: &health.node,
                leader: &v.leader,
                view: v.number,
                view_age_ms: v.age(health.clock.now()),
                configuration_version: v.configuration.version,
            };
            let r = answer_page(StatusCode::OK, &h, None);
            async move { viz::Result::Ok(r) }
        })
        .any("/*", |r: Request| {
            let e = CallError::NotFound { what: "path".into(), name: r.path().to_owned() };
            async move { viz::Result::Ok(error_page(&e)) }
        })
}
