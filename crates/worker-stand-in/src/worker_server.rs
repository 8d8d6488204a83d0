use crate::prelude::*;

/// Largest order taken.
const MAX_ORDER: u64 = 1 << 20;

/// A JSON answer.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut r = text.into_response();
    *r.status_mut() = status;
    r.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    r
}

/// An answer is an answer, also when it tells of an error.
pub(crate) async fn whole(f: impl Future<Output = Result<Response, CallError>>) -> viz::Result<Response> {
    Ok(f.await.unwrap_or_else(|e| json_response(StatusCode::from_u16(e.http_status()).unwrap_or_default(), &e)))
}

/// What was sent can't be read.
pub(crate) fn invalid(path: &str, problem: impl ToString) -> CallError {
    CallError::Invalid { faults: vec![Fault::new(path, problem.to_string())] }
}

/// Reads a JSON body.
pub(crate) async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T, CallError> {
    let b = req.bytes_with(Some(MAX_ORDER), MAX_ORDER).await.map_err(|e| invalid("body", e))?;
    serde_json::from_slice(&b).map_err(|e| invalid("body", e))
}

/// One kind of order: how it names its worker, and how the model takes it.
trait Order: DeserializeOwned + Send + 'static {
    fn worker(&self) -> &str;
    fn input(self, token: Token) -> WorkerInput;
}

macro_rules! orders {
    ($($order:ident => $input:ident),+) => { $(
        impl Order for $order {
            fn worker(&self) -> &str {
                &self.worker
            }

            fn input(self, token: Token) -> WorkerInput {
                WorkerInput::$input { token, order: self }
            }
        }
    )+ };
}

orders!(StartOrder => Start, StopOrder => Stop, HoldOrder => Hold);

async fn take<O: Order>(host: Arc<WorkerHost>, mut req: Request) -> Result<Response, CallError> {
    let order: O = json_body(&mut req).await?;
    let name = host.look(|m| m.identity().name.clone());
    if order.worker() != name {
        return Err(CallError::NotFound { what: "worker".into(), name: order.worker().to_owned() });
    }
    match host.order(|t| order.input(t)).await {
        Ok(a) => Ok(json_response(StatusCode::OK, &a)),
        // Silence lasts until the caller gives up and closes its channel, which drops this.
        Err(_) => pending().await,
    }
}

/// A worker's own HTTP calls.
pub(crate) fn worker_routes(host: &Arc<WorkerHost>) -> Router {
    let (a, b, c) = (host.clone(), host.clone(), host.clone());
    Router::new()
        .post("/start", move |r| whole(take::<StartOrder>(a.clone(), r)))
        .post("/stop", move |r| whole(take::<StopOrder>(b.clone(), r)))
        .post("/hold", move |r| whole(take::<HoldOrder>(c.clone(), r)))
}
