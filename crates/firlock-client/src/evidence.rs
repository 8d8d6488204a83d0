use crate::prelude::*;

/// What one gateway showed.
#[derive(Clone, Debug, Default)]
pub struct GatewayEvidence {
    /// Its address, as given.
    pub address: String,
    /// Why it could not be reached, where it couldn't.
    pub unreachable: Option<String>,
    /// Status of `/healthz`, where it answered.
    pub health: Option<u16>,
    /// The elected scheduler's view through it.
    pub status: Option<ClusterStatus>,
    /// Why there is none.
    pub status_error: Option<String>,
    /// The configuration version that it has in force.
    pub configuration: Option<u64>,
    /// The age of its read view.
    pub view_age_ms: Option<Millis>,
    /// Its wall clock less ours in milliseconds, and how far that may be off.
    pub skew: Option<(i64, u64)>,
    /// Its counters.
    pub metrics: Option<MetricsPage>,
}

/// All that the doctor looks at.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Each gateway that was named.
    pub gateways: Vec<GatewayEvidence>,
    /// The schedulers.
    pub members: Option<MemberList>,
    /// The workers.
    pub workers: Option<Vec<WorkerSummary>>,
    /// The queues.
    pub queues: Option<Vec<QueueUse>>,
    /// Kinds that a queue may use in a zone, for queues with waiting jobs; empty: any.
    pub kinds: BTreeMap<(Name, Name), Vec<Name>>,
    /// Explanations of the oldest waiting jobs.
    pub explanations: Vec<JobExplanation>,
    /// Reads that failed: (what, why).
    pub unread: Vec<(&'static str, String)>,
}

impl Evidence {
    /// Asks each gateway, and then the fleet through whichever answers.
    pub async fn gather<T: Transport, C: Clock>(client: &GatewayClient<T, C>) -> Self {
        let gateways = join_all(client.gateways().iter().map(|g| GatewayEvidence::gather(client, g))).await;
        let mut e = Evidence { gateways, ..Evidence::default() };
        if e.gateways.iter().all(|g| g.unreachable.is_some()) {
            return e;
        }
        // Without a leader anywhere there is one fault to tell; what views still show is read all the same.
        let led = e.status().is_some();
        let oldest = ListJobs { state: Some(JobState::Waiting), limit: Some(MAX_EXPLAINED), ..ListJobs::default() };
        let (members, all) = (ListMembers {}, ListWorkers::default());
        let (members, workers, queues, jobs) =
            join!(read(client, &members, led), read(client, &all, led), read(client, &ListQueues {}, led), read(client, &oldest, led));
        e.members = e.noted(led, "members", members);
        e.workers = e.noted(led, "workers", workers).map(|l| l.workers);
        e.queues = e.noted(led, "queues", queues).map(|l| l.queues);
        let jobs = e.noted(led, "waiting jobs", jobs).map(|l| l.jobs).unwrap_or_default();
        if !led {
            return e;
        }
        let waiting: Vec<(Name, Name)> =
            e.queues.iter().flatten().filter(|q| q.waiting_jobs > 0).map(|q| (q.zone.clone(), q.queue.clone())).take(MAX_QUEUES).collect();
        for (zone, queue) in waiting {
            let r = client.call(&GetEffectiveSettings { zone: zone.clone(), queue: queue.clone() }).await;
            if let Some(s) = e.noted(true, "effective settings", r)
                && let Some(v) = s.values.iter().find(|v| v.setting == "kinds")
            {
                let kinds = v.value.0.as_array().into_iter().flatten().filter_map(|k| k.as_str().map(str::to_owned)).collect();
                e.kinds.insert((zone, queue), kinds);
            }
        }
        for j in jobs {
            // A job may start between the two reads: then there is nothing to explain.
            if let Ok(x) = client.call(&ExplainJob { name: j.name }).await
                && x.state == JobState::Waiting
            {
                e.explanations.push(x);
            }
        }
        e
    }

    /// Keeps an error beside the rest, if it is worth a word.
    fn noted<A, E: fmt::Display>(&mut self, worth: bool, what: &'static str, r: Result<A, E>) -> Option<A> {
        let note = |e: E| {
            if worth {
                self.unread.push((what, e.to_string()));
            }
        };
        r.map_err(note).ok()
    }

    /// A view of the elected scheduler, of the newest term that any gateway showed.
    pub fn status(&self) -> Option<&ClusterStatus> {
        self.gateways.iter().filter_map(|g| g.status.as_ref()).max_by_key(|s| (s.term, s.commit_index))
    }
}

/// Most queues whose kinds are read.
const MAX_QUEUES: usize = 64;
/// Most waiting jobs that are explained.
const MAX_EXPLAINED: u32 = 3;

/// Reads from whichever gateway answers; where no leader is, one try has to do.
async fn read<T: Transport, C: Clock, R: HttpCall>(client: &GatewayClient<T, C>, call: &R, led: bool) -> Result<R::Answer, ClientError> {
    if led {
        return client.call(call).await;
    }
    let mut last = ClientError::NoGateways;
    for g in client.gateways() {
        match client.call_at(g, call, client.settings().backoff_ms(u32::MAX)).await {
            Ok(a) => return Ok(a.answer),
            Err(error) => last = ClientError::Unreadable { gateway: g.clone(), error },
        }
    }
    Err(last)
}

impl GatewayEvidence {
    /// Asks one gateway.
    async fn gather<T: Transport, C: Clock>(client: &GatewayClient<T, C>, address: &str) -> Self {
        let budget = client.settings().time_budget_ms;
        let mut g = GatewayEvidence { address: address.to_owned(), ..GatewayEvidence::default() };
        let asked = client.clock().now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64);
        match client.page_at(address, "/healthz", budget).await {
            Ok(a) => {
                g.health = Some(a.status);
                let round = client.clock().now().saturating_sub(asked);
                // The header is cut to whole seconds: half a second is added, and counts as doubt.
                g.skew = a.date_unix_ms.map(|d| (d as i64 + 500 - wall - round as i64 / 2, 500 + round / 2));
            }
            Err(e) => {
                g.unreachable = Some(e.to_string());
                return g;
            }
        }
        let all = ListWorkers::default();
        let (status, workers, configuration, metrics) = join!(
            client.call_at(address, &GetClusterStatus {}, budget),
            client.call_at(address, &all, budget),
            client.call_at(address, &GetConfiguration {}, budget),
            client.page_at(address, "/metrics", budget),
        );
        match status {
            Ok(a) => g.status = Some(a.answer),
            Err(e) => g.status_error = Some(e.to_string()),
        }
        g.view_age_ms = workers.ok().and_then(|a| a.view_age_ms);
        g.configuration = configuration.ok().map(|a| a.answer.version);
        g.metrics = metrics.ok().map(|a| MetricsPage::read(&String::from_utf8_lossy(&a.body)));
        g
    }
}
