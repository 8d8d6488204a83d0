use crate::prelude::*;

/// An answer, and what came along with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered<A> {
    /// The answer.
    pub answer: A,
    /// How old the view is that answered, where one did.
    pub view_age_ms: Option<Millis>,
    /// The gateway's wall clock, in whole seconds.
    pub date_unix_ms: Option<u64>,
}

/// Sends typed calls to whichever gateway answers, within the time budget.
///
/// ```
/// use cluster_messages::GetJob;
/// use firlock_client::{ClientError, GatewayClient, HyperTransport, RetrySettings, TokioClock};
/// # let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # rt.block_on(async {
/// let client = GatewayClient::new(HyperTransport::new(None), TokioClock::default(), vec![], RetrySettings::default(), 1);
/// let e = client.call(&GetJob { name: "hold-7".into() }).await.unwrap_err();
/// assert!(matches!(e, ClientError::NoGateways));
/// # });
/// ```
#[derive(Debug)]
pub struct GatewayClient<T, C> {
    transport: T,
    clock: C,
    gateways: Vec<String>,
    settings: RetrySettings,
    tokens: Mutex<f64>,
    preferred: AtomicUsize,
    seed: AtomicU64,
}

impl<T: Transport, C: Clock> GatewayClient<T, C> {
    /// A client of these gateways; the seed spreads its retries.
    pub fn new(transport: T, clock: C, gateways: Vec<String>, settings: RetrySettings, seed: u64) -> Self {
        let tokens = Mutex::new(settings.retry_tokens);
        GatewayClient { transport, clock, gateways, settings, tokens, preferred: AtomicUsize::new(0), seed: AtomicU64::new(seed) }
    }

    /// The gateways it knows.
    pub fn gateways(&self) -> &[String] {
        &self.gateways
    }

    /// Its clock.
    pub fn clock(&self) -> &C {
        &self.clock
    }

    /// Its settings.
    pub fn settings(&self) -> RetrySettings {
        self.settings
    }

    /// Sends a call, and sends it again elsewhere where that may help.
    pub async fn call<R: HttpCall>(&self, call: &R) -> Result<R::Answer, ClientError> {
        let request = call.request();
        self.deliver(&request, |b| serde_json::from_slice(b)).await
    }

    /// Sends a call with one more parameter, which this API's types don't hold.
    pub async fn call_with<R: HttpCall>(&self, call: &R, name: &str, value: &str) -> Result<R::Answer, ClientError> {
        let request = call.request().with(name, Some(value));
        self.deliver(&request, |b| serde_json::from_slice(b)).await
    }

    /// The same for a call whose type is known only when it runs.
    pub async fn call_any(&self, call: &CallBody) -> Result<AnswerBody, ClientError> {
        let request = encode_call(call);
        self.deliver(&request, |b| decode_answer(call, b)).await
    }

    /// One try at one gateway.
    pub async fn call_at<R: HttpCall>(&self, gateway: &str, call: &R, time_budget_ms: Millis) -> Result<Answered<R::Answer>, TryError> {
        let request = call.request();
        self.try_at(gateway, &request, time_budget_ms, |b| serde_json::from_slice(b)).await
    }

    /// One try at one gateway, for a call whose type is known only when it runs.
    pub async fn call_any_at(&self, gateway: &str, call: &CallBody, time_budget_ms: Millis) -> Result<Answered<AnswerBody>, TryError> {
        let request = encode_call(call);
        self.try_at(gateway, &request, time_budget_ms, |b| decode_answer(call, b)).await
    }

    /// A page outside the API, such as `/metrics`: status and body, once, from one gateway.
    pub async fn page_at(&self, gateway: &str, target: &str, time_budget_ms: Millis) -> Result<HttpAnswer, TransportError> {
        let request = HttpRequest { method: Method::Get, target: target.to_owned(), body: Bytes::new() };
        self.transport.send(gateway, &request, time_budget_ms).await
    }

    /// One try.
    async fn try_at<A>(
        &self,
        gateway: &str,
        request: &HttpRequest,
        time_budget_ms: Millis,
        decode: impl Fn(&[u8]) -> Result<A, serde_json::Error>,
    ) -> Result<Answered<A>, TryError> {
        let r = self.transport.send(gateway, request, time_budget_ms).await.context(crate::try_error::TransportSnafu)?;
        if (200..300).contains(&r.status) {
            let answer = decode(&r.body).context(crate::try_error::UnreadableSnafu { status: r.status })?;
            return Ok(Answered { answer, view_age_ms: r.view_age_ms, date_unix_ms: r.date_unix_ms });
        }
        let error: CallError = serde_json::from_slice(&r.body).context(crate::try_error::UnreadableSnafu { status: r.status })?;
        Err(TryError::Call { source: error })
    }

    /// Tries, as the plan says.
    async fn deliver<A>(&self, request: &HttpRequest, decode: impl Fn(&[u8]) -> Result<A, serde_json::Error>) -> Result<A, ClientError> {
        ensure!(!self.gateways.is_empty(), crate::client_error::NoGatewaysSnafu);
        let seed = self.seed.fetch_add(1, Ordering::Relaxed);
        let first = self.preferred.load(Ordering::Relaxed);
        let mut plan = RetryPlan::new(self.settings, self.gateways.len(), first, self.clock.now(), seed);
        let mut step = plan.first(self.clock.now());
        let mut lost: Vec<(String, TransportError)> = Vec::new();
        let mut answered: Option<CallError> = None;
        while let RetryStep::Try { gateway, wait_ms, time_budget_ms } = step {
            if wait_ms > 0 {
                self.clock.wait(wait_ms).await;
            }
            let name = &self.gateways[gateway];
            let error = match self.try_at(name, request, time_budget_ms, &decode).await {
                Ok(a) => {
                    self.preferred.store(gateway, Ordering::Relaxed);
                    let mut t = self.tokens.lock().unwrap_or_else(|e| e.into_inner());
                    *t = (*t + self.settings.tokens_back).min(self.settings.retry_tokens);
                    return Ok(a.answer);
                }
                Err(e) => e,
            };
            step = {
                let mut t = self.tokens.lock().unwrap_or_else(|e| e.into_inner());
                plan.after_error(self.clock.now(), &error, &mut t)
            };
            match error {
                TryError::Transport { source } => lost.push((name.clone(), source)),
                TryError::Call { source } => answered = Some(source),
                e @ TryError::Unreadable { .. } => return Err(ClientError::Unreadable { gateway: name.clone(), error: e }),
            }
        }
        match answered {
            Some(error) => Err(ClientError::Answered { error }),
            None => Err(ClientError::Unreachable { tries: lost }),
        }
    }
}
