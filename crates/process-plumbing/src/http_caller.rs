use crate::prelude::*;

/// Idle channels kept for each host.
const IDLE_PER_HOST: usize = 12;
/// How long an idle channel is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// A call that is posted once.
#[derive(Debug)]
pub struct HttpPost<'c> {
    /// Where to: IP number and port.
    pub address: &'c str,
    /// The path.
    pub path: &'c str,
    /// Headers beside the content type: (name, value).
    pub headers: &'c [(&'static str, String)],
    /// The JSON body.
    pub body: Bytes,
    /// The last local time at which the body may leave, if there is one.
    pub leave_by: Option<Millis>,
}

/// An HTTP client whose channels come from our own IP number.
#[derive(Clone)]
pub struct HttpCaller<C> {
    client: Client<AbruptConnector, GuardedBody<C>>,
    clock: C,
}

impl<C: Clock + Unpin> HttpCaller<C> {
    /// A client from an IP number; a channel that can't be opened within `open_budget` is given up.
    pub fn new(from: IpAddr, clock: C, open_budget: Duration) -> Self {
        let mut c = HttpConnector::new();
        c.set_local_address(Some(from));
        c.set_nodelay(true);
        c.set_connect_timeout(Some(open_budget));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_PER_HOST)
            .pool_idle_timeout(IDLE_TIME)
            .build(AbruptConnector(c));
        HttpCaller { client, clock }
    }

    /// Posts JSON once. With `leave_by`, the body never leaves after it.
    /// The answer must be whole within `budget` and `max_answer` bytes.
    pub async fn post(&self, post: HttpPost<'_>, budget: Duration, max_answer: usize) -> HttpOutcome {
        let permit = SendPermit::default();
        let body = GuardedBody::new(post.body, permit.clone(), self.clock.clone(), post.leave_by);
        let mut r = Request::post(format!("http://{}{}", post.address, post.path)).header("content-type", "application/json");
        for (name, value) in post.headers {
            r = r.header(*name, value);
        }
        let r = r.body(body);
        let Ok(r) = r else { return HttpOutcome::NotSent };
        let call = async {
            let a = self.client.request(r).await.ok()?;
            let status = a.status();
            let b = Limited::new(a.into_body(), max_answer).collect().await.ok()?;
            Some(HttpOutcome::Answer(status, b.to_bytes()))
        };
        match timeout(budget, call).await {
            Ok(Some(a)) => a,
            _ if permit.revoke() => HttpOutcome::NotSent,
            _ => HttpOutcome::Unknown,
        }
    }
}
