use crate::prelude::*;

/// Most bytes of a worker's answer.
const MOST_ANSWER: usize = MAX_FRAME;

/// Posts orders to workers; each gives exactly one event back.
#[derive(Clone)]
pub struct WorkerCaller {
    http: HttpCaller<MonotonicClock>,
    answer_ms: Millis,
    events: mpsc::Sender<LoopEvent>,
}

impl WorkerCaller {
    /// Starts and stops are given up after `answer_ms` without an answer.
    pub fn new(http: HttpCaller<MonotonicClock>, answer_ms: Millis, events: mpsc::Sender<LoopEvent>) -> Self {
        WorkerCaller { http, answer_ms, events }
    }

    /// Posts a start, once.
    pub fn start(&self, address: String, order: StartOrder, leave_by: Millis) {
        let attempt = order.attempt;
        self.post(address, "/start", order, Some(leave_by), self.answer_ms, move |_, reply| GatewayInput::StartAnswered { attempt, reply });
    }

    /// Posts a stop.
    pub fn stop(&self, address: String, order: StopOrder) {
        let (attempt, worker) = (order.attempt, order.worker.clone());
        self.post(address, "/stop", order, None, self.answer_ms, move |_, reply| GatewayInput::StopAnswered { attempt, worker, reply });
    }

    /// Posts a hold.
    pub fn hold(&self, address: String, order: HoldOrder, give_up_after_ms: Millis) {
        let worker = order.worker.clone();
        self.post(address, "/hold", order, None, give_up_after_ms, move |address, reply| GatewayInput::HoldAnswered {
            worker,
            address,
            reply,
        });
    }

    /// Posts in a task of its own.
    fn post<O, A, F>(&self, address: String, path: &'static str, order: O, leave_by: Option<Millis>, budget_ms: Millis, event: F)
    where
        O: Serialize + Send + 'static,
        A: DeserializeOwned + Send,
        F: FnOnce(String, Reply<A>) -> GatewayInput + Send + 'static,
    {
        let w = self.clone();
        tokio::spawn(async move {
            let reply = match serde_json::to_vec(&order) {
                Ok(b) => {
                    let budget = Duration::from_millis(budget_ms);
                    read(w.http.post(&address, path, b.into(), leave_by, budget, MOST_ANSWER).await)
                }
                Err(_) => Reply::NotSent,
            };
            let _ = w.events.send(event(address, reply).into()).await;
        });
    }
}

/// An answer counts only when it is whole and of its kind; whatever else came back proves nothing.
fn read<A: DeserializeOwned>(o: HttpOutcome) -> Reply<A> {
    match o {
        HttpOutcome::Answer(StatusCode::OK, b) => serde_json::from_slice(&b).map_or(Reply::Unknown, Reply::Answer),
        HttpOutcome::Answer(..) | HttpOutcome::Unknown => Reply::Unknown,
        HttpOutcome::NotSent => Reply::NotSent,
    }
}
