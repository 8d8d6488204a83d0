use crate::prelude::*;

/// A page of JSON.
fn page(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = Bytes::from(serde_json::to_vec(body).unwrap_or_default());
    let mut r = Response::new(Full::new(bytes).into());
    *r.status_mut() = status;
    r.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    r
}

/// An answer; with the view's age when it came from there.
pub fn answer_page(status: StatusCode, body: &impl Serialize, view_age: Option<Millis>) -> Response {
    let mut r = page(status, body);
    if let Some(a) = view_age {
        r.headers_mut().insert("x-view-age-ms", a.into());
    }
    r
}

/// An error: the typed JSON, its words as `message`, and the retry hint in whole seconds, rounded up.
///
/// ```
/// use cluster_messages::CallError;
/// let r = gateway::error_page(&CallError::Shed { limit: "inbox".into(), retry_after_ms: 1_001 });
/// assert_eq!((r.status().as_u16(), r.headers()["retry-after"].to_str().unwrap()), (429, "2"));
/// ```
pub fn error_page(e: &CallError) -> Response {
    let mut body = serde_json::to_value(e).unwrap_or_default();
    if let Some(m) = body.as_object_mut() {
        m.insert("message".into(), e.to_string().into());
    }
    let mut r = page(StatusCode::from_u16(e.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
    if let Some(ms) = e.retry_after_ms() {
        r.headers_mut().insert("retry-after", ms.div_ceil(1_000).into());
    }
    r
}
