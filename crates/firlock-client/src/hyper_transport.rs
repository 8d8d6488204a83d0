use crate::prelude::*;

/// Largest answer that is taken.
const MAX_ANSWER: usize = 64 << 20;
/// Share of a try's time that the gateway is told, so that its last word still arrives in time.
const TOLD_SHARE: f64 = 0.9;
/// Idle channels kept to each gateway.
const IDLE_CHANNELS: usize = 32;

/// HTTP/1.1 through `hyper-util`, with channels kept open between calls.
#[derive(Clone, Debug)]
pub struct HyperTransport {
    /// The client with its pool.
    client: HyperClient<HttpConnector, Full<Bytes>>,
}

impl HyperTransport {
    /// A transport; its sockets are bound to `local`, where one is given.
    pub fn new(local: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(local);
        let client = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CHANNELS)
            .retry_canceled_requests(false)
            .build(connector);
        HyperTransport { client }
    }

    /// One exchange, without a bound in time.
    async fn exchange(&self, gateway: &str, request: &HttpRequest, time_budget_ms: Millis) -> Result<HttpAnswer, TransportError> {
        let uri = if gateway.starts_with("http://") {
            format!("{gateway}{}", request.target)
        } else {
            format!("http://{gateway}{}", request.target)
        };
        let r = hyper::Request::builder()
            .method(request.method.word())
            .uri(uri)
            .header("x-time-budget-ms", ((time_budget_ms as f64 * TOLD_SHARE) as Millis).max(1))
            .header("content-type", "application/json")
            .body(Full::new(request.body.clone()))
            .context(crate::transport::AddressSnafu { address: gateway })?;
        let r = self.client.request(r).await.context(crate::transport::ChannelSnafu)?;
        let text = |name: &str| r.headers().get(name).and_then(|v| v.to_str().ok());
        let view_age_ms = text("x-view-age-ms").and_then(|v| v.parse().ok());
        let date_unix_ms = text("date")
            .and_then(|v| httpdate::parse_http_date(v).ok())
            .and_then(|t| t.duration_since(UNIX_EPOCH).ok())
            .map(|d| d.as_millis() as u64);
        let status = r.status().as_u16();
        let mut body = r.into_body();
        let mut whole = Vec::new();
        while let Some(f) = body.frame().await {
            if let Ok(b) = f.context(crate::transport::BodySnafu)?.into_data() {
                ensure!(whole.len() + b.len() <= MAX_ANSWER, crate::transport::TooLongSnafu { limit: MAX_ANSWER });
                whole.extend_from_slice(&b);
            }
        }
        Ok(HttpAnswer { status, body: whole.into(), view_age_ms, date_unix_ms })
    }
}

impl Transport for HyperTransport {
    async fn send(&self, gateway: &str, request: &HttpRequest, time_budget_ms: Millis) -> Result<HttpAnswer, TransportError> {
        let bound = Duration::from_millis(time_budget_ms);
        tokio::time::timeout(bound, self.exchange(gateway, request, time_budget_ms))
            .await
            .unwrap_or(Err(TransportError::TimedOut { after_ms: time_budget_ms }))
    }
}
