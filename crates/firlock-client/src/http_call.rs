use crate::prelude::*;

/// A call that knows its method, path, query and body: one generic sender carries them all.
///
/// ```
/// use cluster_messages::{CancelJob, DrainWorker, ListJobs};
/// use firlock_client::{HttpCall, Method};
/// let r = CancelJob { name: "hold-7".into() }.request();
/// assert_eq!((r.method, r.target.as_str()), (Method::Post, "/v1/jobs/hold-7/cancel"));
/// let r = DrainWorker { name: "w1".into(), on: true, order_id: None, ..DrainWorker::default() }.request();
/// assert_eq!(r.target, "/v1/workers/w1/drain");
/// let r = ListJobs { queue: Some("table-holds".into()), ..ListJobs::default() }.request();
/// assert_eq!(r.target, "/v1/jobs?queue=table-holds");
/// ```
pub trait HttpCall: ControlCall<Answer: DeserializeOwned> {
    /// How it goes over the line.
    fn request(&self) -> HttpRequest;
}

/// Declares each call's request, and the dispatch over any call.
macro_rules! http_calls {
    ($($call:ident, $c:ident => $request:expr;)+) => {
        $( impl HttpCall for $call {
            fn request(&self) -> HttpRequest {
                let $c = self;
                $request
            }
        } )+

        /// Any call as HTTP carries it.
        pub fn encode_call(body: &CallBody) -> HttpRequest {
            match body { $( CallBody::$call(c) => c.request(), )+ }
        }

        /// The answer to any call, from the JSON of a good answer.
        pub fn decode_answer(body: &CallBody, json: &[u8]) -> Result<AnswerBody, serde_json::Error> {
            match body { $( CallBody::$call(_) => serde_json::from_slice(json).map(AnswerBody::$call), )+ }
        }
    };
}

http_calls! {
    SubmitJob, c => HttpRequest::post(&["jobs"], c);
    CancelJob, c => HttpRequest::post(&["jobs", &c.name, "cancel"], c);
    GetJob, c => HttpRequest::get(&["jobs", &c.name]);
    ListJobs, c => HttpRequest::get(&["jobs"])
        .with("queue", c.queue.as_ref())
        .with("state", c.state.map(JobState::word))
        .with("after", c.after)
        .with("limit", c.limit);
    ExplainJob, c => HttpRequest::get(&["jobs", &c.name, "why"]);
    RegisterWorker, c => HttpRequest::post(&["workers"], c);
    DrainWorker, c => HttpRequest::post(&["workers", &c.name, "drain"], c);
    RemoveWorker, c => HttpRequest::post(&["workers", &c.name, "remove"], c);
    ListWorkers, c => HttpRequest::get(&["workers"]).with("zone", c.zone.as_ref());
    EvacuateZone, c => HttpRequest::post(&["zones", &c.zone, "evacuate"], c);
    GetConfiguration, _c => HttpRequest::get(&["config"]);
    PutConfiguration, c => HttpRequest::put(&["config"], c);
    GetConfigurationHistory, c => HttpRequest::get(&["config", "history"]).with("limit", c.limit);
    GetEffectiveSettings, c => HttpRequest::get(&["config", "effective"]).with("zone", Some(&c.zone)).with("queue", Some(&c.queue));
    ListQueues, _c => HttpRequest::get(&["queues"]);
    ListMembers, _c => HttpRequest::get(&["members"]);
    RemoveMember, c => HttpRequest::post(&["members", &c.id.to_string(), "remove"], c);
    TransferLeadership, c => HttpRequest::post(&["members", &c.id.to_string(), "lead"], c);
    GetClusterStatus, _c => HttpRequest::get(&["status"]);
}
