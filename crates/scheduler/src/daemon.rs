use crate::prelude::*;

/// The executor: feeds the core with inputs, and carries out its effects in order.
pub struct Daemon<S> {
    settings: DaemonSettings,
    clock: MonotonicClock,
    page: MetricsPage,
    surface: S,
}

/// Ticks of the core in one election timeout.
const TICKS_A_TIMEOUT: u64 = 40;
/// A tick is overdue, and surely there, when as many should have come.
const TICKS_OVERDUE: u64 = 2;
/// A step that takes longer than this part of an election timeout is told in the log.
const SLOW_STEP_PART: u64 = 10;
/// Inputs that wait for the core at most.
const INBOX: usize = 8_192;
/// How long a handover may hold up the end of the process, as a part of an election timeout.
const LEAVE_PART: u64 = 2;
/// Refreshes of the metrics in one election timeout, as a divisor.
const METRICS_TIMEOUTS: u64 = 2;

impl<S: ControlSurface> Daemon<S> {
    /// A daemon with these settings.
    pub fn new(settings: DaemonSettings, page: MetricsPage, surface: S) -> Self {
        Daemon { settings, clock: MonotonicClock::start(), page, surface }
    }

    /// Sets the process up and runs it.
    pub fn run_process(source: &SettingsSource, s: DaemonSettings, surface: S) -> Result<(), DaemonError> {
        let format = if s.log_format == "json" { LogFormat::Json } else { LogFormat::Text };
        init_logs(format, &s.log_level).context(crate::daemon_error::PlumbingSnafu)?;
        let page = MetricsPage::install().context(crate::daemon_error::PlumbingSnafu)?;
        let runtime = daemon_runtime(s.worker_threads as usize).context(crate::daemon_error::PlumbingSnafu)?;
        runtime.block_on(async {
            let reload = source.changes::<DaemonSettings>().context(crate::daemon_error::PlumbingSnafu)?;
            tokio::spawn(reload.for_each(|_| async { info!("settings read again: they take effect with the next start") }));
            Daemon::new(s, page, surface).run().await
        })
    }

    /// Settings of the core.
    ///
    /// # Errors
    /// A policy named to be off that there isn't.
    fn core_settings(&self) -> Result<SchedulerSettings, DaemonError> {
        let s = &self.settings;
        let address = s.advertise_internal.unwrap_or(s.listen_internal).to_string();
        let mut c = SchedulerSettings::new(&s.cluster, &address, &s.zone, s.election_timeout_ms);
        c.seeds = s.seed_addresses().iter().map(ToString::to_string).collect();
        c.founders = s.founder_addresses().iter().map(ToString::to_string).collect();
        c.most_voters = s.most_voters;
        c.gang_wait_ms = s.gang_wait_ms;
        c.first_class_ms = s.first_class_ms;
        if s.member_silence_s > 0.0 {
            c.member_silence_ms = (s.member_silence_s * 1e3) as Millis;
        }
        c.voters = s.voters as usize;
        c.gateway_silence_ms = s.gateway_silence_ms;
        c.hold_interval_ms = s.hold_interval_ms;
        c.policies = PlacementPolicies::without(&s.policies_off).context(crate::daemon_error::PolicySnafu)?;
        c.log.store_cache_bytes = s.disk_cache_kb << 10;
        Ok(c)
    }

    /// The store's folder.
    fn folder(&self) -> Result<PathBuf, DaemonError> {
        let folder = self.settings.data_folder.as_ref().context(crate::daemon_error::NoDataFolderSnafu)?;
        Ok(PathBuf::from(folder).join("log"))
    }

    /// Opens the store; a fresh one gets an id of its own, so that a lost disk never comes back as its old self.
    fn open(&self, c: &SchedulerSettings) -> Result<(DiskLogStorage, u64, RestoredState), DaemonError> {
        let folder = self.folder()?;
        let mut storage = DiskLogStorage::open(&folder, &c.log).context(crate::daemon_error::StorageSnafu)?;
        let id = match storage.identity().context(crate::daemon_error::StorageSnafu)? {
            Some(id) => id,
            None => {
                // 53 bits: operators' JSON tools must not round it.
                let id = rand::random::<u64>() >> 11;
                storage.set_identity(id).context(crate::daemon_error::StorageSnafu)?;
                id
            }
        };
        let restored = storage.load().context(crate::daemon_error::StorageSnafu)?;
        Ok((storage, id, restored))
    }

    /// Opens the store as soon as the disk has room for it.
    async fn open_with_room(&self, c: &SchedulerSettings) -> Result<(DiskLogStorage, u64, RestoredState), DaemonError> {
        loop {
            match self.open(c) {
                Err(DaemonError::Storage { source }) if source.is_full() => {
                    warn!(error = %source, "the disk is full: the store can't be opened until it has room");
                    tokio::time::sleep(FULL_RETRY).await;
                }
                other => return other,
            }
        }
    }

    /// Runs until a signal, or until the disk is gone.
    pub async fn run(self) -> Result<(), DaemonError> {
        let c = self.core_settings()?;
        let (storage, id, restored) = self.open_with_room(&c).await?;
        let now = self.clock.now();
        let mut core = Scheduler::new(c.clone(), id, restored, now, rand::random()).context(crate::daemon_error::StateSnafu)?;
        info!(id, address = %c.address, zone = %c.zone, entries = core.replica().last_index(), "scheduler up");

        let budget = Duration::from_millis(c.log.election_timeout_ms);
        let listener = listen(self.settings.listen_internal).await.context(crate::daemon_error::PlumbingSnafu)?;
        let (rest, mut rx) = mpsc::channel::<Incoming>(INBOX);
        let (first, mut first_rx) = mpsc::channel::<Incoming>(INBOX);
        let (inlets, clock) = (Inlets { first, rest }, self.clock);
        tokio::spawn(async move {
            for id in 1.. {
                match listener.next().await {
                    Ok(incoming) => {
                        tokio::spawn(read(id, incoming, budget, clock, inlets.clone()));
                    }
                    Err(_) => {
                        counter!("accept_errors_total").increment(1);
                        tokio::time::sleep(budget / TICKS_A_TIMEOUT as u32).await;
                    }
                }
            }
        });
        let (disk_tx, mut disk_rx) = mpsc::channel::<SchedulerInput>(INBOX);
        let (folder, log_settings) = (self.folder()?, c.log.clone());
        let storage = ReopeningStorage::new(storage, move || DiskLogStorage::reopen(&folder, &log_settings));
        let disk = DiskWriter::start(storage, disk_tx)?;
        let stop = shutdown_signal().context(crate::daemon_error::PlumbingSnafu)?;
        tokio::pin!(stop);
        let (port, mut calls, leader) = ControlPort::new(c.log.election_timeout_ms, self.clock);
        tokio::spawn(pages(self.settings.listen_http, self.surface.routes(port, self.page.clone())));
        let mut replies: BTreeMap<u64, oneshot::Sender<CallResult<AnswerBody>>> = BTreeMap::new();
        let mut last_call = 0;
        let mut leader_told = None;
        let mut members_told = MemberNews::default();
        let mut trace = EventTrace::default();
        let mut ticks = tokio::time::interval(budget / TICKS_A_TIMEOUT as u32);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut peers = PeerLinks::new(self.settings.listen_internal.ip(), budget);
        let mut doors = GatewayDoors::default();
        let mut metrics_at = 0;
        let mut dropped_told = LossNews::default();
        let mut leaving: Option<Millis> = None;
        let mut progress = ReadProgress::default();
        let mut turns = InletTurns::default();
        let mut ticked_at = 0;
        loop {
            let from = self.clock.now();
            let turn = turns.next(|inlet| match inlet {
                Inlet::Cluster => !first_rx.is_empty(),
                Inlet::Ticks => from >= ticked_at + TICKS_OVERDUE * c.log.election_timeout_ms / TICKS_A_TIMEOUT,
                Inlet::Calls => !calls.is_empty(),
                Inlet::Gateways => !rx.is_empty(),
            });
            let may_read = |inlet: Inlet| turn.is_none_or(|turn| turn == inlet);
            // Messages of the log that wait go before a tick: it would judge the silence of their senders.
            let mut input = tokio::select! {
                biased;
                () = &mut stop, if leaving.is_none() => {
                    leaving = Some(self.clock.now() + c.log.election_timeout_ms / LEAVE_PART);
                    SchedulerInput::Leave
                }
                i = disk_rx.recv() => i.context(crate::daemon_error::DiskGoneSnafu)?,
                Some(i) = first_rx.recv(), if may_read(Inlet::Cluster) => {
                    turns.taken(Inlet::Cluster);
                    doors.take(i)
                }
                _ = ticks.tick(), if turn != Some(Inlet::Cluster) => {
                    turns.taken(Inlet::Ticks);
                    ticked_at = self.clock.now();
                    SchedulerInput::Tick { wall_ms: wall_ms(), read_to: 0 }
                }
                i = rx.recv(), if may_read(Inlet::Gateways) => {
                    turns.taken(Inlet::Gateways);
                    match i {
                        None => break,
                        Some(i) => doors.take(i),
                    }
                }
                Some(e) = calls.recv(), if may_read(Inlet::Calls) => {
                    turns.taken(Inlet::Calls);
                    if e.reply.is_closed() {
                        // Its caller has given up: an answer would reach nobody, and what isn't in the log yet needn't be.
                        counter!("scheduler_calls_abandoned_total").increment(1);
                        continue;
                    }
                    let waited_ms = self.clock.now().saturating_sub(e.arrived_at);
                    gauge!("scheduler_call_wait_ms").set(waited_ms as f64);
                    last_call += 1;
                    replies.insert(last_call, e.reply);
                    SchedulerInput::Call { call: last_call, time_budget_ms: e.time_budget_ms, body: Box::new(e.body) }
                }
            };
            let began = self.clock.now();
            progress.waited(from, began, rx.is_empty() && first_rx.is_empty());
            match &mut input {
                SchedulerInput::GatewayDown(id) => doors.close(*id),
                // What overtakes the load says nothing of how far that has been read.
                SchedulerInput::Gateway { arrived_at, frame, .. } if !frame.overtakes() => {
                    progress.read(*arrived_at);
                }
                SchedulerInput::Tick { read_to, .. } => *read_to = progress.read_to(),
                _ => {}
            }
            let kind = input.kind();
            let looked = core.counters.looks;
            let effects = core.step(began, input);
            trace.tell(&core, began);
            let took = self.clock.now() - began;
            if took > c.log.election_timeout_ms / SLOW_STEP_PART {
                let looks = core.counters.looks - looked;
                let waiting_calls = calls.len();
                info!(took_ms = took, kind, ?looks, waiting_calls, "slow step");
            }
            for e in effects {
                match e {
                    SchedulerEffect::Persist(r) => disk.write(r)?,
                    SchedulerEffect::Peer { address, bytes } => peers.send(&address, bytes),
                    SchedulerEffect::Gateway(id, f) => doors.send(id, f),
                    SchedulerEffect::Answer { call, result } => {
                        if let Some(r) = replies.remove(&call) {
                            // The caller may be gone.
                            let _ = r.send(*result);
                        }
                    }
                    SchedulerEffect::Halt(reason) if matches!(*reason, HaltReason::Retired { .. }) => {
                        info!(%reason, "its store is put aside");
                        drop(disk);
                        return DiskLogStorage::put_aside(&self.folder()?).context(crate::daemon_error::StorageSnafu);
                    }
                    SchedulerEffect::Halt(reason) => return Err(DaemonError::Halted { reason }),
                    SchedulerEffect::Leading(Some(term)) => info!(term, "leads"),
                    SchedulerEffect::Leading(None) => info!("leads no more"),
                }
            }
            doors.flushed();
            let now = self.clock.now();
            let leads = core.leader_address(now);
            let members = MemberNews::of(&core, now);
            if members != members_told {
                members.tell();
                members_told = members;
            }
            if leads != leader_told {
                leader.store(leads.as_ref().and_then(|a| a.parse().ok()).map(Arc::new));
                leader_told = leads;
            }
            if leaving.is_some_and(|until| now >= until || !core.replica().is_leader()) {
                break;
            }
            if now >= metrics_at {
                metrics_at = now + METRICS_TIMEOUTS * c.log.election_timeout_ms;
                publish(&core, now);
                gauge!("scheduler_calls_waiting").set(calls.len() as f64);
                dropped_told.tell(&core);
            }
        }
        info!("scheduler down");
        Ok(())
    }
}

/// What the log tells of the members, and whether this one serves: a line for each change.
#[derive(Clone, Debug, Default, PartialEq)]
struct MemberNews {
    voters: Vec<u64>,
    learners: Vec<u64>,
    serves: bool,
}

impl MemberNews {
    /// As it is now.
    fn of(core: &Scheduler, now: Millis) -> Self {
        let m = core.replica().membership();
        MemberNews {
            voters: m.voters.keys().copied().collect(),
            learners: m.learners.keys().copied().collect(),
            serves: core.is_serving(now),
        }
    }

    /// The line.
    fn tell(&self) {
        info!(voters = ?self.voters, learners = ?self.learners, serves = self.serves, "members");
    }
}

/// What a leader could not tell in its usual way: a line whenever there is more of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LossNews {
    overtaken_views: u64,
    commands_dropped: u64,
    batches_shed: u64,
    facts_shed: u64,
}

impl LossNews {
    /// The line, if there is more than at the last look.
    fn tell(&mut self, core: &Scheduler) {
        let counters = &core.counters;
        let now = LossNews {
            overtaken_views: counters.overtaken_views,
            commands_dropped: counters.commands_dropped,
            batches_shed: counters.batches_shed,
            facts_shed: counters.facts_shed,
        };
        if now != *self {
            warn!(
                overtaken_views = now.overtaken_views,
                commands_dropped = now.commands_dropped,
                batches_shed = now.batches_shed,
                facts_shed = now.facts_shed,
                "views sent anew, commands dropped, batches that the log refused"
            );
            *self = now;
        }
    }
}

/// The machine's wall clock.
fn wall_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as Millis)
}

/// Counters and gauges of the core.
fn publish(core: &Scheduler, now: Millis) {
    let (n, r, l) = (&core.counters, core.replica(), core.replica().counters());
    let totals = [
        ("scheduler_entries_applied_total", n.entries),
        ("scheduler_commands_applied_total", n.commands),
        ("scheduler_unreadable_entries_total", n.unreadable),
        ("scheduler_answers_total", n.answers),
        ("scheduler_shed_total", n.shed),
        ("scheduler_placement_rounds_total", n.rounds),
        ("scheduler_placement_rounds_cut_total", n.rounds_cut),
        ("scheduler_starts_planned_total", n.planned),
        ("scheduler_planner_looks_total", n.looks.total()),
        ("scheduler_planner_ordering_looks_total", n.looks.ordering),
        ("scheduler_planner_placement_looks_total", n.looks.placement),
        ("scheduler_planner_reservation_looks_total", n.looks.reservation),
        ("scheduler_planner_preemption_looks_total", n.looks.preemption),
        ("scheduler_preempted_total", n.preempted),
        ("scheduler_updates_total", n.updates),
        ("scheduler_malformed_frames_total", n.malformed + l.malformed),
        ("scheduler_repairs_total", n.repairs),
        ("scheduler_first_views_total", n.first_views),
        ("scheduler_overtaken_views_total", n.overtaken_views),
        ("scheduler_batches_shed_total", n.batches_shed),
        ("scheduler_commands_dropped_total", n.commands_dropped),
        ("log_unknown_versions_total", l.unknown_version),
        ("log_misrouted_total", l.misrouted),
        ("log_campaigns_total", l.campaigns),
        ("log_elections_won_total", l.elections_won),
        ("log_quorum_lost_total", l.quorum_lost),
        ("log_committed_conflicts_total", l.committed_conflicts),
        ("log_truncated_total", l.truncated),
        ("log_snapshots_installed_total", l.snapshots_installed),
    ];
    for (name, v) in totals {
        counter!(name).absolute(v);
    }
    core.queue_gauges(now).each(|name, value| gauge!(name).set(value as f64));
    let s = core.state();
    gauge!("scheduler_leads").set(if core.is_serving(now) { 1.0 } else { 0.0 });
    gauge!("log_term").set(r.term() as f64);
    gauge!("log_commit_index").set(r.commit_index() as f64);
    gauge!("log_last_index").set(r.last_index() as f64);
    gauge!("log_bytes").set(r.log().bytes() as f64);
    gauge!("scheduler_jobs").set(s.tables.jobs.len() as f64);
    gauge!("scheduler_attempts").set(s.tables.attempts.len() as f64);
    gauge!("scheduler_workers").set(s.tables.workers.len() as f64);
    gauge!("scheduler_configuration_version").set(s.configuration.version() as f64);
}

/// Serves a router at an address.
async fn pages(address: SocketAddr, app: Router) {
    match tokio::net::TcpListener::bind(address).await {
        Ok(l) => {
            if let Err(e) = serve(l, app).await {
                error!(error = %e, "pages ended");
            }
        }
        Err(e) => error!(error = %e, %address, "pages can't be served"),
    }
}
