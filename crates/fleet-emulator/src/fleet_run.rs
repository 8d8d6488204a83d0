use crate::prelude::*;

/// Longest wait for a first leader.
const LEADER_WAIT_S: u64 = 30;
/// Longest wait for all workers to be known.
const WORKERS_WAIT_S: u64 = 40;
/// Pause between looks while waiting.
const LOOK: Duration = Duration::from_millis(200);
/// Pause between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);
/// Calls of the final reads that are out at once.
const FINAL_READS_AT_ONCE: usize = 16;
/// Gateways through which each job is read at the end.
const READS_EACH: usize = 2;
/// The fleet's own rule: no daemon ends unless the fleet ends it.
pub const DAEMON_ENDED: &str = "daemon_ended_by_itself";
/// Another: what a gateway has taken up is answered beside planned work.
pub const REQUEST_CUT: &str = "request_cut_beside_planned_work";

/// One run of a fleet: everything it started is ended when this is dropped.
pub struct FleetRun {
    options: RunOptions,
    layout: Arc<Layout>,
    links: Arc<LinkTable>,
    daemons: Arc<Daemons>,
    observer: Arc<Observer>,
    desk: Arc<OrderDesk>,
    folder: PathBuf,
    tree: Value,
    ended: Vec<String>,
    /// Requests that were broken off beside planned work.
    cut: Vec<String>,
    faults: Vec<(f64, String)>,
}

/// What is due in the course of the load.
#[derive(Clone, Debug, PartialEq)]
enum Due {
    Fault(FaultEvent),
    End(Undo),
}

/// What was used up to one moment.
struct Mark {
    at: Instant,
    usage: BTreeMap<NodeId, (ProcessUsage, f64, u64)>,
    traffic: TrafficSnapshot,
    emulation_cpu_s: f64,
}

impl FleetRun {
    /// Lays everything out, listens on all relays and starts the daemons; none needs to serve yet.
    pub async fn start(options: RunOptions) -> FleetResult<FleetRun> {
        let layout = Arc::new(Layout::new(options.deployment.clone(), options.net));
        let folder = options.run_folder();
        fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
        let links = Arc::new(LinkTable::default());
        start_relays(&layout, &links).await?;
        let daemons = Arc::new(Daemons::prepare(&layout, &folder, &options.bin_folder)?);
        let run = FleetRun {
            observer: Arc::new(Observer::new(layout.clone())),
            desk: Arc::new(OrderDesk::new(&layout, options.load.seed)),
            tree: first_tree(&layout.deployment)?,
            ended: Vec::new(),
            cut: Vec::new(),
            faults: Vec::new(),
            folder,
            options,
            layout,
            links,
            daemons,
        };
        for n in run.layout.nodes.iter().filter(|n| n.is_daemon()) {
            run.daemons.start(n.id).await?;
        }
        Ok(run)
    }

    /// Waits until `what` happens. A daemon that ends by itself meanwhile is an error at once.
    async fn until<F: Future<Output = FleetResult<bool>>>(&self, what: &str, within_s: u64, happens: impl Fn() -> F) -> FleetResult<()> {
        let end = Instant::now() + Duration::from_secs(within_s);
        while !happens().await? {
            if let Some((_, problem)) = self.daemons.ended().await.into_iter().next() {
                return CallSnafu { url: "daemon", problem }.fail();
            }
            ensure!(Instant::now() < end, NotInTimeSnafu { what, within_s });
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Runs the whole: start, first configuration, workers, load with faults, settling, final reads, verdict.
    pub async fn run(mut self) -> FleetResult<Report> {
        let since = Instant::now();
        self.until("a leader", LEADER_WAIT_S, || async { Ok(self.observer.status().await.is_some()) }).await?;
        say(&format!("leader {} after {:.1} s", self.leader_name(), since.elapsed().as_secs_f64()));
        // From before the first configuration: a probe that starts later would count its own absence.
        let probe = ConfigurationProbe::start(&self.layout, &self.desk, &self.tree);
        self.found().await?;
        let stand_ins =
            Arc::new(StandInProcesses::start_workers(&self.layout, &self.folder, &self.options.bin_folder, &self.options.load)?);
        let workers = self.layout.of_role(Role::Worker).count();
        self.until("all workers registered", WORKERS_WAIT_S, || async {
            stand_ins.check().await?;
            let Some(g) = self.layout.of_role(Role::Gateway).next() else { return Ok(false) };
            Ok(self.observer.read_at(g, &ListWorkers::default()).await.is_ok_and(|l| l.workers.len() == workers))
        })
        .await?;
        say(&format!("{workers} workers registered after {:.1} s", since.elapsed().as_secs_f64()));
        stand_ins.start_callers().await?;
        let before = self.mark(&stand_ins).await;
        self.load(&stand_ins).await?;
        let after = self.mark(&stand_ins).await;
        self.settle(&stand_ins).await?;
        drop(probe);
        self.read_finally(&stand_ins).await;
        stand_ins.collect().await?;
        let given_up = stand_ins.caller_figures().await.ok().and_then(|f| f["given_up"].as_u64()).unwrap_or(0);
        let mut report = self.judge(&stand_ins);
        report.jobs_given_up = given_up;
        self.costs(&before, &after, &mut report);
        drop(stand_ins);
        self.daemons.stop().await;
        if self.options.folder.is_none() {
            // Only files of this run are in it; one that can't be removed does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
        Ok(report)
    }

    fn leader_name(&self) -> &str {
        self.observer.last_leader().map_or("none", |id| self.layout.node(id).name.as_str())
    }

    /// Puts the deployment's configuration in force before anything else.
    async fn found(&self) -> FleetResult<()> {
        let put = PutConfiguration { base_version: 0, change_id: "fleet-founding".into(), tree: Payload(self.tree.clone()), source: None };
        match self.desk.send(put.into_body()).await {
            Some(Ok(_)) => Ok(()),
            Some(Err(e)) => CallSnafu { url: "PUT /v1/config", problem: e.to_string() }.fail(),
            None => CallSnafu { url: "PUT /v1/config", problem: "no answer" }.fail(),
        }
    }

    async fn mark(&self, stand_ins: &StandInProcesses) -> Mark {
        let own = ProcessUsage::of(std::process::id()).unwrap_or_default().cpu_s;
        Mark {
            at: Instant::now(),
            usage: self.daemons.usage().await,
            traffic: TrafficSnapshot::take(&self.links),
            emulation_cpu_s: own + stand_ins.cpu_s().await,
        }
    }

    /// The load, with its faults.
    async fn load(&mut self, stand_ins: &Arc<StandInProcesses>) -> FleetResult<()> {
        let mut executor = FaultExecutor::new(
            self.layout.clone(),
            self.links.clone(),
            self.daemons.clone(),
            self.observer.clone(),
            self.desk.clone(),
            stand_ins.clone(),
            self.options.load.seed,
        );
        let connections = OpenConnections::start(&self.layout, executor.disturbances());
        let begin = Instant::now();
        let end = begin + Duration::from_secs_f64(self.options.seconds);
        let at = |s: f64| begin + Duration::from_secs_f64(s);
        let mut due: Vec<(Instant, Due)> = self.options.faults.events.iter().map(|e| (at(e.at_s), Due::Fault(e.clone()))).collect();
        let mut progress = begin + PROGRESS;
        loop {
            due.sort_by_key(|(t, _)| Reverse(*t));
            let next = due.last().map_or(end, |(t, _)| *t).min(progress).min(end);
            tokio::time::sleep_until(next).await;
            let now = Instant::now();
            if now >= end {
                break;
            }
            if now >= progress {
                progress = now + PROGRESS;
                self.progress(stand_ins, begin.elapsed().as_secs_f64()).await?;
            }
            if due.last().is_some_and(|(t, _)| *t <= now)
                && let Some((_, d)) = due.pop()
            {
                let s = begin.elapsed().as_secs_f64();
                let line = match &d {
                    Due::Fault(e) => match executor.apply(e).await {
                        Ok((line, undo)) => {
                            due.extend(undo.map(|u| (Instant::now() + Duration::from_secs_f64(e.for_s.unwrap_or(0.0)), Due::End(u))));
                            line
                        }
                        Err(problem) => format!("{e}: not done: {problem}"),
                    },
                    Due::End(u) => executor.undo(u).await.unwrap_or_else(|problem| format!("not ended: {problem}")),
                };
                say(&format!("{s:7.1} s  {line}"));
                self.faults.push((s, line));
            }
        }
        let (cut, answered) = connections.finish();
        say(&format!("{answered} requests answered on kept connections, {} broken off beside planned work", cut.len()));
        self.cut = cut;
        // Whatever was to end later ends now: the rest is about what is left.
        while let Some((_, d)) = due.pop() {
            if let Due::End(u) = d {
                let line = executor.undo(&u).await.unwrap_or_else(|problem| format!("not ended: {problem}"));
                self.faults.push((begin.elapsed().as_secs_f64(), line));
            }
        }
        stand_ins.rate(0.0).await
    }

    /// One line about how it goes.
    async fn progress(&mut self, stand_ins: &StandInProcesses, s: f64) -> FleetResult<()> {
        self.note_ended(s).await;
        stand_ins.check().await?;
        let (status, collected) = tokio::join!(self.observer.status(), stand_ins.collect());
        collected?;
        let counts = stand_ins.with_seen(Counts::of);
        let leader = match status {
            Some(st) => {
                format!("{} term {} configuration {} waiting {}", self.leader_name(), st.term, st.configuration_version, st.waiting_tasks)
            }
            None => "none told".to_owned(),
        };
        say(&format!("{s:7.1} s  {counts}; leader {leader}"));
        Ok(())
    }

    /// Notes daemons that ended by themselves.
    async fn note_ended(&mut self, s: f64) {
        for (id, problem) in self.daemons.ended().await {
            let line = format!("{}: {problem}", self.layout.node(id).name);
            say(&format!("{s:7.1} s  ENDED {line}"));
            self.ended.push(line);
        }
    }

    /// Cancels what has no end of its own and waits for the rest to end.
    async fn settle(&mut self, stand_ins: &StandInProcesses) -> FleetResult<()> {
        let begin = Instant::now();
        stand_ins.collect().await?;
        let lasting = stand_ins.with_seen(lasting_jobs);
        let cancels = lasting.into_iter().map(|name| {
            let desk = self.desk.clone();
            async move { desk.send(CancelJob { name }.into_body()).await }
        });
        futures::stream::iter(cancels).buffer_unordered(FINAL_READS_AT_ONCE).collect::<Vec<_>>().await;
        let end = begin + Duration::from_secs_f64(self.options.settle_s);
        // Two quiet looks in a row: what waits for room may start in between.
        let mut quiet = 0;
        let mut running = 0;
        while quiet < QUIET_LOOKS && Instant::now() < end {
            running = stand_ins.running().await?;
            let waiting = self.observer.status().await.map_or(1, |s| s.attempts);
            quiet = if running + waiting == 0 { quiet + 1 } else { 0 };
            tokio::time::sleep(LOOK).await;
        }
        self.note_ended(0.0).await;
        say(&format!("settled for {:.1} s, {running} tasks still run", begin.elapsed().as_secs_f64()));
        Ok(())
    }

    /// Reads accepted jobs and the configuration once more through several gateways.
    async fn read_finally(&self, stand_ins: &StandInProcesses) {
        self.desk.note(Observation::FinalReads);
        let mut jobs = stand_ins.with_seen(accepted_jobs);
        jobs.shuffle(&mut ChaCha8Rng::seed_from_u64(self.options.load.seed));
        jobs.truncate(self.options.final_reads);
        let gateways: Vec<&Node> = self.layout.of_role(Role::Gateway).collect();
        let reads = jobs.iter().enumerate().flat_map(|(i, name)| {
            let gateways = &gateways;
            (0..READS_EACH.min(gateways.len())).map(move |k| (name, gateways[(i + k * (gateways.len() / 2).max(1)) % gateways.len()]))
        });
        let reads = reads.map(|(name, g)| async move {
            let asked_at = true_now();
            let through = g.advertised_http().to_string();
            match self.observer.read_at(g, &GetJob { name: name.clone() }).await {
                Ok(j) => Some(Observation::JobSeen { name: name.clone(), state: j.summary.state, through, asked_at }),
                Err(TryError::Call { source: CallError::NotFound { .. } }) => {
                    Some(Observation::JobAbsent { name: name.clone(), through, asked_at })
                }
                Err(_) => None,
            }
        });
        let seen: Vec<Option<Observation>> = futures::stream::iter(reads).buffer_unordered(FINAL_READS_AT_ONCE).collect().await;
        let unread = seen.iter().filter(|o| o.is_none()).count();
        seen.into_iter().flatten().for_each(|o| self.desk.note(o));
        for g in &gateways {
            let asked_at = true_now();
            if let Ok(c) = self.observer.read_at(g, &GetConfiguration {}).await {
                let through = g.advertised_http().to_string();
                self.desk.note(Observation::ConfigurationSeen { through, version: c.version, digest: c.digest, asked_at });
            }
        }
        say(&format!("{} accepted jobs read again through {READS_EACH} gateways each, {unread} reads without an answer", jobs.len()));
    }

    /// The oracle's verdict as a report.
    fn judge(&self, stand_ins: &StandInProcesses) -> Report {
        let mut recorders = vec![self.desk.record()];
        let shed = stand_ins.with_seen(|all| {
            recorders.extend(all.iter().map(|r| r.iter().map(|o| (o.at, o.observation.clone())).collect()));
            Counts::of(all).shed
        });
        let seen = true_order(recorders);
        self.keep_observations(&seen);
        let bounds = OracleBounds { queue_urgency: queue_urgency(&self.tree), ..OracleBounds::default() };
        // A final read is the first of many jobs, and says nothing of when they became visible.
        let before_end: Vec<_> = seen.iter().take_while(|(_, o)| *o != Observation::FinalReads).cloned().collect();
        let visible_ms = judge(before_end, bounds.clone(), true_now()).figures.visible_ms;
        let v = judge(seen, bounds, true_now());
        let f = v.figures;
        let mut violations: BTreeMap<String, u64> = v.violations.iter().map(|(k, n)| ((*k).to_owned(), *n)).collect();
        violations.insert(DAEMON_ENDED.to_owned(), self.ended.len() as u64);
        violations.insert(REQUEST_CUT.to_owned(), self.cut.len() as u64);
        let mut findings: Vec<String> = v.examples.iter().map(|x| format!("{} at {}: {}", x.rule, x.at, x.what)).collect();
        findings.extend(self.ended.iter().map(|e| format!("{DAEMON_ENDED}: {e}")));
        findings.extend(self.cut.iter().map(|c| format!("{REQUEST_CUT}: {c}")));
        let mut unjudged = Vec::new();
        for (n, what) in [
            (f.runs_of_unknown_jobs, "runs of jobs that no caller sent"),
            (f.starts_out_of_reach, "starts past a bound that no stop could have reached in time"),
            (f.runs_lost, "runs lost with their worker"),
        ] {
            if n > 0 {
                unjudged.push(format!("{n} {what}"));
            }
        }
        Report {
            deployment: self.options.deployment.name.clone(),
            scenario: self.options.scenario.clone(),
            seed: self.options.load.seed,
            rate: self.options.load.rate,
            duration_s: self.options.seconds,
            jobs_accepted: f.jobs_accepted,
            jobs_finished: f.jobs_finished,
            jobs_cancelled: f.jobs_cancelled,
            jobs_failed: f.jobs_failed,
            jobs_shed: shed,
            tasks_started: f.tasks_run,
            runs_unneeded: f.unneeded,
            violations,
            findings,
            unjudged,
            start_latency_ms: Latencies { urgent: f.urgent_start_ms, all: f.start_ms },
            start_latency_by_zone_ms: f.zone_start_ms,
            visible_ms,
            config_in_force_ms: f.config_in_force_ms,
            drain_ms: f.drain_ms,
            drain_empty_ms: f.drain_empty_ms,
            cancel_ms: f.cancel_ms,
            outage_ms: f.outage_ms,
            faults: self.faults.clone(),
            figure: self.options.figure.clone(),
            ..Report::default()
        }
    }

    /// Keeps observations with the run's files where these are kept.
    fn keep_observations(&self, seen: &[(Millis, Observation)]) {
        if self.options.folder.is_some() {
            let line = |(at, o): &(Millis, Observation)| json!([at, o]).to_string();
            let text = seen.iter().map(line).collect::<Vec<_>>().join("\n");
            if let Err(e) = fs::write(self.folder.join("observations.ndjson"), text) {
                say(&format!("observations not kept: {e}"));
            }
        }
    }

    /// What the daemons cost between two moments.
    fn costs(&self, before: &Mark, after: &Mark, report: &mut Report) {
        let seconds = (after.at - before.at).as_secs_f64();
        let mut figures: BTreeMap<Name, DaemonFigures> = BTreeMap::new();
        before.traffic.figures_since(&self.links, &self.layout, seconds, &mut figures);
        for (id, (usage, peak, starts)) in &after.usage {
            let n = self.layout.node(*id);
            let d = figures.entry(n.name.clone()).or_default();
            let cpu_before = before.usage.get(id).map_or(0.0, |(u, _, _)| u.cpu_s);
            d.zone = n.zone.clone();
            d.cpu_share_of_core = (usage.cpu_s - cpu_before) / seconds;
            (d.rss_mb, d.rss_peak_mb, d.starts) = (usage.rss_mb, *peak, *starts);
        }
        report.daemons = figures;
        report.emulation_cpu_cores = (after.emulation_cpu_s - before.emulation_cpu_s) / seconds;
        report.total(&self.layout);
    }
}

/// Quiet looks in a row that end the settling.
const QUIET_LOOKS: u32 = 3;

/// Listens on all relays of a layout.
async fn start_relays(layout: &Layout, links: &Arc<LinkTable>) -> FleetResult<()> {
    let nodes: Arc<HashMap<IpAddr, NodeId>> = Arc::new(layout.nodes.iter().map(|n| (n.ip.into(), n.id)).collect());
    for n in &layout.nodes {
        let ports = [(n.internal_port, n.advertised_internal(), n.internal()), (n.http_port, n.advertised_http(), n.http())];
        for (_, listen, target) in ports.into_iter().filter(|(port, _, _)| *port > 0) {
            Relay { node: n.id, listen, target }.start(nodes.clone(), links.clone()).await?;
        }
    }
    Ok(())
}

/// The operators' first tree of a deployment.
pub fn first_tree(d: &Deployment) -> FleetResult<Value> {
    let known = || UnknownDeploymentSnafu { name: d.name.clone(), known: Deployment::NAMES.join(", ") };
    let profile = caller_stand_in::Profile::named(&d.name).with_context(known)?;
    Ok(caller_stand_in::deployment_tree(profile, &d.regions.iter().cloned().collect()))
}

/// Urgency of each queue in a tree.
fn queue_urgency(tree: &Value) -> BTreeMap<Name, u8> {
    let children = |v: &Value, key: &str| v[key].as_object().cloned().unwrap_or_default();
    let mut m = BTreeMap::new();
    for region in children(tree, "regions").values() {
        for zone in children(region, "zones").values() {
            for (name, q) in children(zone, "queues") {
                m.insert(name, q["settings"]["urgency"].as_u64().unwrap_or(0) as u8);
            }
        }
    }
    m
}

/// Names of jobs that a caller has an acceptance of.
fn accepted_jobs(all: &[Vec<RecordedObservation>]) -> Vec<Name> {
    let names: BTreeSet<&Name> = all
        .iter()
        .flatten()
        .filter_map(|o| match &o.observation {
            Observation::JobAnswered { name, answer: Ok(_) } => Some(name),
            _ => None,
        })
        .collect();
    names.into_iter().cloned().collect()
}

/// Names of accepted jobs that have no end of their own, and that nobody has cancelled.
fn lasting_jobs(all: &[Vec<RecordedObservation>]) -> Vec<Name> {
    let accepted: BTreeSet<Name> = accepted_jobs(all).into_iter().collect();
    let mut lasting = BTreeSet::new();
    let mut cancelled = BTreeSet::new();
    for o in all.iter().flatten() {
        match &o.observation {
            Observation::JobSent { spec } if spec.run_until_cancelled => {
                lasting.insert(spec.name.clone());
            }
            Observation::CancelAnswered { name, .. } => {
                cancelled.insert(name.clone());
            }
            _ => {}
        }
    }
    lasting.into_iter().filter(|n| accepted.contains(n) && !cancelled.contains(n)).collect()
}
