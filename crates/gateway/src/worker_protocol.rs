use crate::prelude::*;

/// An order to a worker, ready to be posted.
#[derive(Clone, Debug, Default)]
pub struct WorkerRequest {
    /// The path.
    pub path: &'static str,
    /// Headers beside the content type: (name, value).
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// How orders look on their way to workers, and what their answers say. It only translates.
pub trait WorkerProtocol: Clone + Send + Sync + 'static {
    /// A start; `None` when it can't be written.
    fn start(&self, order: &StartOrder) -> Option<WorkerRequest>;
    /// A stop.
    fn stop(&self, order: &StopOrder) -> Option<WorkerRequest>;
    /// A hold.
    fn hold(&self, order: &HoldOrder) -> Option<WorkerRequest>;
    /// What a start's answer says.
    fn start_answer(&self, order: &StartOrder, status: StatusCode, body: &[u8]) -> Reply<StartAnswer>;
    /// What a stop's answer says.
    fn stop_answer(&self, order: &StopOrder, status: StatusCode, body: &[u8]) -> Reply<StopAnswer>;
    /// What a hold's answer says.
    fn hold_answer(&self, order: &HoldOrder, status: StatusCode, body: &[u8]) -> Reply<HoldAnswer>;
}

/// Firlock's own protocol: the typed orders as JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnWorkerProtocol;

/// An order as JSON.
fn request(path: &'static str, order: &impl Serialize) -> Option<WorkerRequest> {
    Some(WorkerRequest { path, headers: Vec::new(), body: serde_json::to_vec(order).ok()?.into() })
}

/// An answer counts only when it is whole and of its kind; whatever else came back proves nothing.
fn answer<A: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Reply<A> {
    match status {
        StatusCode::OK => serde_json::from_slice(body).map_or(Reply::Unknown, Reply::Answer),
        _ => Reply::Unknown,
    }
}

impl WorkerProtocol for OwnWorkerProtocol {
    fn start(&self, order: &StartOrder) -> Option<WorkerRequest> {
        request("/start", order)
    }

    fn stop(&self, order: &StopOrder) -> Option<WorkerRequest> {
        request("/stop", order)
    }

    fn hold(&self, order: &HoldOrder) -> Option<WorkerRequest> {
        request("/hold", order)
    }

    fn start_answer(&self, _: &StartOrder, status: StatusCode, body: &[u8]) -> Reply<StartAnswer> {
        answer(status, body)
    }

    fn stop_answer(&self, _: &StopOrder, status: StatusCode, body: &[u8]) -> Reply<StopAnswer> {
        answer(status, body)
    }

    fn hold_answer(&self, _: &HoldOrder, status: StatusCode, body: &[u8]) -> Reply<HoldAnswer> {
        answer(status, body)
    }
}
