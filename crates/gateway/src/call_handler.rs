use crate::prelude::*;

/// The header with the caller's time budget.
const BUDGET_HEADER: &str = "x-time-budget-ms";
/// Time budget of a request that names none.
const USUAL_BUDGET: Millis = 5_000;
/// Longest time budget.
const MOST_BUDGET: Millis = 60_000;
/// Retry hint when there is no room for a body.
const HINT_MS: Millis = 200;

/// Serves one kind of call.
pub struct CallHandler<C> {
    ports: Arc<GatewayPorts>,
    call: std::marker::PhantomData<fn() -> C>,
}

impl<C> CallHandler<C> {
    /// A handler.
    pub fn new(ports: &Arc<GatewayPorts>) -> Self {
        CallHandler { ports: ports.clone(), call: std::marker::PhantomData }
    }
}

impl<C> Clone for CallHandler<C> {
    fn clone(&self) -> Self {
        CallHandler { ports: self.ports.clone(), call: self.call }
    }
}

/// The name in a request's path.
fn name_of(r: &Request) -> String {
    let raw: String = r.param("name").unwrap_or_default();
    percent_encoding::percent_decode_str(&raw).decode_utf8_lossy().into_owned()
}

/// The caller's time budget.
fn budget_of(r: &Request) -> Result<Millis, CallError> {
    let Some(h) = r.headers().get(BUDGET_HEADER) else { return Ok(USUAL_BUDGET) };
    let read = h.to_str().ok().and_then(|t| t.trim().parse::<Millis>().ok());
    let fault = || CallError::Invalid { faults: vec![Fault::new(BUDGET_HEADER, "wants milliseconds as a whole number")] };
    Ok(read.ok_or_else(fault)?.min(MOST_BUDGET))
}

impl<C: HttpCall> CallHandler<C>
where
    C::Answer: Send,
{
    /// Reads the body, within bounds of size, time, and room shared with all other requests.
    async fn body(&self, r: &mut Request, budget: Millis) -> Result<(Bytes, OwnedSemaphorePermit), CallError> {
        let limit = C::MOST_BODY as u64;
        let size = r.content_length().unwrap_or(if r.headers().contains_key("transfer-encoding") { limit } else { 0 });
        let too_large = |size| CallError::TooLarge { what: "body".into(), size, limit };
        ensure_size(size, limit, too_large)?;
        let kb = size.div_ceil(1 << 10) as u32;
        let shed = |_| CallError::Shed { limit: "gateway body room".into(), retry_after_ms: HINT_MS };
        let room = self.ports.body_room.clone().try_acquire_many_owned(kb).map_err(shed)?;
        let Ok(body) = r.incoming() else { return Ok((Bytes::new(), room)) };
        let read = timeout(Duration::from_millis(budget), Limited::new(body, C::MOST_BODY).collect()).await;
        let read = read.map_err(|_| CallError::TimeBudgetSpent { retry_after_ms: HINT_MS })?;
        let broken = || CallError::Invalid { faults: vec![Fault::new("body", "ended before its end")] };
        let whole = read.map_err(|e| if e.is::<LengthLimitError>() { too_large(limit + 1) } else { broken() })?;
        Ok((whole.to_bytes(), room))
    }

    /// Reads and carries out one call: the status, the answer, and the age of the view it came from.
    async fn serve(&self, r: &mut Request) -> Result<(C::Answer, Option<Millis>), CallError> {
        let began = self.ports.clock.now();
        let budget = budget_of(r)?;
        let (body, _room) = self.body(r, budget).await?;
        let query = r.query().map_err(|e| CallError::Invalid { faults: vec![Fault::new("?", e.to_string())] })?;
        let input = CallInput { name: name_of(r), query, body };
        let call = C::read(&input)?;
        let direct = C::wants_scheduler(&input);
        drop(input);
        let (body, now) = (call.into_body(), self.ports.clock.now());
        let seen = if direct { None } else { self.ports.read(&body).await };
        let (a, age) = match seen {
            Some((a, age)) => (a, Some(age)),
            None => (self.ports.asks.ask(budget.saturating_sub(now - began), body).await?, None),
        };
        let wrong = || CallError::UnknownVersion { found: 0, wanted: cluster_messages::WIRE_VERSION };
        Ok((C::answer_of(a).ok_or_else(wrong)?, age))
    }
}

/// Sheds what is larger than the limit.
fn ensure_size(size: u64, limit: u64, error: impl Fn(u64) -> CallError) -> Result<(), CallError> {
    if size > limit { Err(error(size)) } else { Ok(()) }
}

#[async_trait]
impl<C: HttpCall> Handler<Request> for CallHandler<C>
where
    C::Answer: Send,
{
    type Output = viz::Result<Response>;

    async fn call(&self, mut r: Request) -> viz::Result<Response> {
        let began = self.ports.clock.now();
        let page = match self.serve(&mut r).await {
            Ok((a, age)) => answer_page(C::status(&a), &a, age),
            Err(e) => error_page(&e),
        };
        let kind = std::any::type_name::<C>().rsplit("::").next().unwrap_or_default();
        counter!("gateway_calls_total", "call" => kind, "status" => page.status().as_u16().to_string()).increment(1);
        histogram!("gateway_call_ms", "call" => kind).record((self.ports.clock.now() - began) as f64);
        Ok(page)
    }
}
