use crate::prelude::*;

/// How long a call to a gateway may take.
const CALL_BUDGET: Duration = Duration::from_secs(5);
/// How long a channel to a gateway may take to open.
const OPEN_BUDGET: Duration = Duration::from_secs(2);
/// Largest answer taken from a gateway.
const MAX_ANSWER: usize = 64 << 10;
/// Wait before the next gateway is asked to drain.
const NEXT_GATEWAY_WAIT: Duration = Duration::from_millis(500);

/// One worker of the process: its model, and the orders that wait for answers.
pub struct WorkerHost {
    state: Mutex<(WorkerModel, HashMap<Token, oneshot::Sender<WorkerAnswer>>, Token)>,
    wake: Notify,
    clock: TrueClock,
    recorder: Arc<Recorder>,
    gateways: Arc<[String]>,
    next_gateway: AtomicUsize,
    from: SocketAddr,
    boots: AtomicUsize,
}

impl WorkerHost {
    /// A worker that listens at `from`.
    pub fn new(
        identity: &WorkerIdentity,
        seed: u64,
        from: SocketAddr,
        clock: TrueClock,
        recorder: Arc<Recorder>,
        gateways: Arc<[String]>,
    ) -> Self {
        let identity = WorkerIdentity { address: from, ..identity.clone() };
        let registration = identity.registration(&format!("{}-{}-0", identity.name, clock.now()));
        let model = WorkerModel::new(registration, identity.behaviour, seed);
        WorkerHost {
            state: Mutex::new((model, HashMap::new(), 0)),
            wake: Notify::new(),
            clock,
            recorder,
            gateways,
            next_gateway: AtomicUsize::new(seed as usize),
            from,
            boots: AtomicUsize::new(0),
        }
    }

    /// Its model, to look at.
    pub fn look<T>(&self, f: impl FnOnce(&WorkerModel) -> T) -> T {
        f(&self.state().0)
    }

    /// A boot id that it never had.
    pub fn new_boot_id(&self) -> String {
        let n = self.boots.fetch_add(1, Ordering::Relaxed) + 1;
        self.look(|m| format!("{}-{}-{n}", m.identity().name, self.clock.now()))
    }

    /// True time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, (WorkerModel, HashMap<Token, oneshot::Sender<WorkerAnswer>>, Token)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an order. Its answer comes through the receiver, or never: then the sender is dropped.
    pub fn order(self: &Arc<Self>, input: impl FnOnce(Token) -> WorkerInput) -> oneshot::Receiver<WorkerAnswer> {
        let (tx, rx) = oneshot::channel();
        let mut s = self.state();
        s.2 += 1;
        let token = s.2;
        s.1.insert(token, tx);
        self.step_in(&mut s, input(token));
        rx
    }

    /// Takes an input that has no answer.
    pub fn step(self: &Arc<Self>, input: WorkerInput) {
        self.step_in(&mut self.state(), input);
    }

    /// Steps the model under its lock, so that what is observed is recorded before any answer leaves.
    fn step_in(self: &Arc<Self>, s: &mut (WorkerModel, HashMap<Token, oneshot::Sender<WorkerAnswer>>, Token), input: WorkerInput) {
        let now = self.clock.now();
        for e in s.0.step(now, input) {
            match e {
                WorkerEffect::Observe(o) => self.recorder.record(now, o),
                // Members are on several processes' workers: only the simulator brings them together.
                WorkerEffect::MemberCame(_) | WorkerEffect::MemberLeft(_) => {}
                WorkerEffect::Answer { token, answer } => {
                    if let Some(tx) = s.1.remove(&token) {
                        // A caller that has left needs no answer.
                        tx.send(answer).ok();
                    }
                }
                WorkerEffect::Silence { token } | WorkerEffect::Refuse { token } | WorkerEffect::OtherLife { token } => {
                    drop(s.1.remove(&token))
                }
                WorkerEffect::Register(r) => {
                    let me = self.clone();
                    tokio::spawn(async move {
                        let ok = me.call("/v1/workers", &r).await.is_some();
                        // The answer to an older boot says nothing about this one.
                        if me.look(|m| m.identity().boot_id == r.boot_id) {
                            me.step(WorkerInput::Registered(ok));
                        }
                    });
                }
            }
        }
        self.wake.notify_one();
    }

    /// Ticks the model whenever it wants to; ends never.
    pub async fn drive(self: Arc<Self>) {
        self.step(WorkerInput::Tick);
        loop {
            let wait = self.look(WorkerModel::next_wake).map(|t| self.clock.until(t));
            tokio::select! {
                () = self.wake.notified() => {}
                () = async { match wait { Some(d) => tokio::time::sleep(d).await, None => pending().await } } => {
                    self.step(WorkerInput::Tick);
                }
            }
        }
    }

    /// Calls the next gateway once, from the worker's own IP number; its answer if it took the call.
    async fn call<T: Serialize>(&self, path: &str, body: &T) -> Option<Bytes> {
        let i = self.next_gateway.fetch_add(1, Ordering::Relaxed);
        let gateway = self.gateways.get(i % self.gateways.len().max(1))?;
        let caller = HttpCaller::new(self.from.ip(), self.clock, OPEN_BUDGET);
        let body = serde_json::to_vec(body).ok()?;
        match caller
            .post(HttpPost { address: gateway, path, headers: &[], body: body.into(), leave_by: None }, CALL_BUDGET, MAX_ANSWER)
            .await
        {
            HttpOutcome::Answer(status, b) if status.is_success() => Some(b),
            _ => None,
        }
    }

    /// Announces a drain or its end to one gateway after the other until one acknowledges it; the time is recorded.
    pub async fn drain(self: &Arc<Self>, on: bool) -> Name {
        let worker = self.look(|m| m.identity().name.clone());
        let behaviour = self.look(|m| Behaviour { draining: on, ..m.behaviour().clone() });
        self.step(WorkerInput::Behave(behaviour));
        let path = format!("/v1/workers/{worker}/drain");
        // One order, however often it is sent.
        let order_id = Some(format!("{worker}-{on}-{}", self.now()));
        let body = DrainWorker { name: worker.clone(), on, order_id, ..DrainWorker::default() };
        loop {
            let answer = self.call(&path, &body).await.and_then(|b| serde_json::from_slice::<WorkerDrained>(&b).ok());
            if answer.is_some_and(|a| a.draining == on) {
                self.recorder.record(self.clock.now(), Observation::DrainAnswered { worker: worker.clone(), on });
                return worker;
            }
            tokio::time::sleep(NEXT_GATEWAY_WAIT).await;
        }
    }
}
