use crate::prelude::*;

/// Most bytes of a worker's answer.
const MOST_ANSWER: usize = MAX_FRAME;

/// Posts orders to workers; each gives exactly one event back.
#[derive(Clone)]
pub struct WorkerCaller<P> {
    http: HttpCaller<MonotonicClock>,
    protocol: P,
    answer_ms: Millis,
    events: mpsc::Sender<LoopEvent>,
}

impl<P: WorkerProtocol> WorkerCaller<P> {
    /// Starts and stops are given up after `answer_ms` without an answer.
    pub fn new(http: HttpCaller<MonotonicClock>, protocol: P, answer_ms: Millis, events: mpsc::Sender<LoopEvent>) -> Self {
        WorkerCaller { http, protocol, answer_ms, events }
    }

    /// Posts a start, once.
    pub fn start(&self, address: String, order: StartOrder, leave_by: Millis) {
        let request = self.protocol.start(&order);
        let (protocol, attempt) = (self.protocol.clone(), order.attempt);
        self.post(address, request, Some(leave_by), self.answer_ms, move |_, outcome| {
            let reply = read(outcome, |status, body| protocol.start_answer(&order, status, body));
            GatewayInput::StartAnswered { attempt, reply }
        });
    }

    /// Posts a stop.
    pub fn stop(&self, address: String, order: StopOrder) {
        let request = self.protocol.stop(&order);
        let (protocol, attempt, worker) = (self.protocol.clone(), order.attempt, order.worker.clone());
        self.post(address, request, None, self.answer_ms, move |_, outcome| {
            let reply = read(outcome, |status, body| protocol.stop_answer(&order, status, body));
            GatewayInput::StopAnswered { attempt, worker, reply }
        });
    }

    /// Posts a hold.
    pub fn hold(&self, address: String, order: HoldOrder, give_up_after_ms: Millis) {
        let request = self.protocol.hold(&order);
        let (protocol, worker) = (self.protocol.clone(), order.worker.clone());
        self.post(address, request, None, give_up_after_ms, move |address, outcome| {
            let reply = read(outcome, |status, body| protocol.hold_answer(&order, status, body));
            GatewayInput::HoldAnswered { worker, address, reply }
        });
    }

    /// Posts in a task of its own.
    fn post<F>(&self, address: String, request: Option<WorkerRequest>, leave_by: Option<Millis>, budget_ms: Millis, event: F)
    where
        F: FnOnce(String, HttpOutcome) -> GatewayInput + Send + 'static,
    {
        let w = self.clone();
        tokio::spawn(async move {
            let outcome = match request {
                Some(r) => {
                    let call = HttpPost { address: &address, path: r.path, headers: &r.headers, body: r.body, leave_by };
                    w.http.post(call, Duration::from_millis(budget_ms), MOST_ANSWER).await
                }
                None => HttpOutcome::NotSent,
            };
            let _ = w.events.send(event(address, outcome).into()).await;
        });
    }
}

/// Reads an answer; without one it is known whether the order may have arrived.
fn read<A>(outcome: HttpOutcome, answer: impl FnOnce(StatusCode, &[u8]) -> Reply<A>) -> Reply<A> {
    match outcome {
        HttpOutcome::Answer(status, body) => answer(status, &body),
        HttpOutcome::NotSent => Reply::NotSent,
        HttpOutcome::Unknown => Reply::Unknown,
    }
}
