use crate::prelude::*;

/// How a run of stand-in callers and operators is set up.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// The callers.
    pub callers: CallerSettings,
    /// The operators, where there are any.
    pub operators: Option<OperatorSettings>,
    /// The IP number that sockets are bound to.
    pub bind: Option<IpAddr>,
    /// Unix time at which the record's clock is 0.
    pub epoch_unix_ms: u64,
}

/// Calls that may be out at once; more are lost before they leave, as from a caller without a socket.
const MOST_OUT: usize = 8_192;
/// Inputs that wait for a model.
const INBOX: usize = 1_024;

/// A run under way. It ends when this is dropped.
#[derive(Debug)]
pub struct RunHandle {
    log: Arc<ObservationLog>,
    figures: Arc<Mutex<CallerFigures>>,
    inputs: Vec<mpsc::Sender<CallerInput>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl RunHandle {
    /// The record.
    pub fn log(&self) -> &ObservationLog {
        &self.log
    }

    /// What the callers came to so far.
    pub fn figures(&self) -> CallerFigures {
        *self.figures.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Tells all models something.
    pub async fn tell(&self, input: CallerInput) {
        for i in &self.inputs {
            // A model whose task is gone has nobody left to tell.
            i.send(input.clone()).await.ok();
        }
    }
}

impl Drop for RunHandle {
    fn drop(&mut self) {
        for t in &self.tasks {
            t.abort();
        }
    }
}

/// Runs callers, and operators where there are any, against real gateways. Must be called within a tokio runtime.
pub fn run(settings: RunSettings) -> RunHandle {
    let log = Arc::new(ObservationLog::new(settings.epoch_unix_ms));
    let figures = Arc::new(Mutex::new(CallerFigures::default()));
    let transport = HyperTransport::new(settings.bind);
    let now = log.now();
    let mut handle = RunHandle { log: log.clone(), figures: figures.clone(), inputs: Vec::new(), tasks: Vec::new() };
    let gateways = settings.callers.gateways.clone();
    let told = move |m: &CallerModel| *figures.lock().unwrap_or_else(|e| e.into_inner()) = m.figures();
    let callers = CallerSettings { unix_at_zero_ms: settings.epoch_unix_ms, ..settings.callers };
    handle.add(CallerModel::new(callers, now), gateways, transport.clone(), told);
    if let Some(o) = settings.operators {
        let gateways = o.gateways.clone();
        handle.add(OperatorModel::new(o, now), gateways, transport, |_| {});
    }
    handle
}

impl RunHandle {
    /// Drives one more model.
    fn add<M: Model + Send + 'static>(
        &mut self,
        model: M,
        gateways: Vec<Name>,
        transport: HyperTransport,
        told: impl Fn(&M) + Send + 'static,
    ) {
        let (inbox, inputs) = mpsc::channel(INBOX);
        self.inputs.push(inbox.clone());
        let client = GatewayClient::new(transport, TokioClock::default(), gateways, RetrySettings::default(), 0);
        let log = self.log.clone();
        self.tasks.push(tokio::spawn(drive(model, Arc::new(client), log, (inbox, inputs), told)));
    }
}

/// The client of one model.
type Sender = Arc<GatewayClient<HyperTransport, TokioClock>>;
/// Both ends of a model's inbox.
type Inbox = (mpsc::Sender<CallerInput>, mpsc::Receiver<CallerInput>);

/// The executor: obeys a model for ever.
async fn drive<M: Model>(mut model: M, client: Sender, log: Arc<ObservationLog>, (inbox, mut inputs): Inbox, told: impl Fn(&M)) {
    let out = Arc::new(tokio::sync::Semaphore::new(MOST_OUT));
    let mut unsent = VecDeque::new();
    let mut input = CallerInput::Tick;
    loop {
        for effect in model.step(log.now(), input) {
            match effect {
                CallerEffect::Observe(o) => log.record(o),
                CallerEffect::GiveUp { .. } => {}
                CallerEffect::Send { ticket, gateway, call, time_budget_ms } => match out.clone().try_acquire_owned() {
                    Err(_) => unsent.push_back(CallerInput::Lost { ticket }),
                    Ok(permit) => {
                        let (client, inbox) = (client.clone(), inbox.clone());
                        tokio::spawn(async move {
                            let input = exchange(&client, ticket, gateway, &call, time_budget_ms).await;
                            drop(permit);
                            // The run is over: nobody asks any more.
                            inbox.send(input).await.ok();
                        });
                    }
                },
            }
        }
        told(&model);
        if let Some(i) = unsent.pop_front() {
            input = i;
            continue;
        }
        let wait = model.next_due().map_or(Duration::from_secs(1), |d| Duration::from_millis(d.saturating_sub(log.now())));
        input = tokio::select! {
            Some(i) = inputs.recv() => i,
            () = tokio::time::sleep(wait) => CallerInput::Tick,
        };
    }
}

/// One try at one gateway.
async fn exchange(client: &Sender, ticket: u64, gateway: usize, call: &CallBody, time_budget_ms: Millis) -> CallerInput {
    let Some(name) = client.gateways().get(gateway) else { return CallerInput::Lost { ticket } };
    match client.call_any_at(name, call, time_budget_ms).await {
        Ok(a) => CallerInput::Answered { ticket, result: Ok(a.answer) },
        Err(TryError::Call { source }) => CallerInput::Answered { ticket, result: Err(source) },
        Err(TryError::Transport { .. } | TryError::Unreadable { .. }) => CallerInput::Lost { ticket },
    }
}
