use crate::prelude::*;

/// The placement state: learned distributions under LAVA.
pub type Bands = FleetBands<LearnedDistributions, PlacementStrategy>;

/// Use of one queue in one zone: tasks out, and their room.
pub type Use = (u64, Room);

/// What a queue grants its jobs: the most over all of its zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// The strongest urgency.
    pub urgency: u8,
    /// Jobs that may be open.
    pub waiting_jobs: u64,
    /// How long a job can be asked for once it is over.
    pub retention_ms: Millis,
    /// How often a task may fail.
    pub allowed_failures: u64,
}

/// The folded state: tables, configuration, placement state, and indexes that are worked out from them.
#[derive(Clone, Debug)]
pub struct ClusterState {
    /// What a snapshot holds.
    pub tables: Tables,
    /// The operators' tree with its past.
    pub configuration: ConfigurationHistory,
    /// The tree's values in force.
    pub effective: Arc<EffectiveTree>,
    /// Lifetime bands and the predictor.
    pub bands: Bands,
    /// Steps with tasks to start.
    pub ready: ReadyIndex,
    /// Jobs by name.
    pub names: BTreeMap<Name, JobNumber>,
    /// Workers by name.
    pub worker_names: BTreeMap<Name, WorkerIndex>,
    /// Tasks out at each worker.
    pub on_worker: BTreeMap<WorkerIndex, BTreeSet<TaskId>>,
    /// Use by (zone, queue).
    pub queue_use: BTreeMap<(Name, Name), Use>,
    /// Tasks out, by service and shape.
    pub running_shapes: BTreeMap<(Name, Room), u64>,
    /// Room and use by zone.
    pub zone_room: BTreeMap<Name, (Room, Room)>,
    /// Open jobs by queue.
    pub open_jobs: BTreeMap<Name, u64>,
    /// The zones of each queue.
    pub queue_zones: BTreeMap<Name, Vec<Name>>,
    /// Occurrences of jobs that aren't due, by their time.
    pub timed: BTreeSet<(Millis, JobNumber, u16)>,
    /// Unproven starts by the time they are to be voided.
    pub unproven: BTreeSet<(Millis, TaskId)>,
    /// Running attempts by the time they are looked at for a stall.
    pub checks: BTreeSet<(Millis, TaskId)>,
    /// Overdue attempts by queue and kind, and by worker.
    pub overdue: BTreeMap<(u64, u64), BTreeMap<WorkerIndex, u64>>,
    /// Gangs that are out, by the time they must run whole.
    pub gangs: BTreeSet<ReadyStep>,
    /// Finished jobs by the time they are forgotten.
    pub finished: BTreeSet<(Millis, JobNumber)>,
}

/// The paper's ranking, but for one thing: recycling workers of all higher classes rank alike, and the tie-break decides
/// between them. The replay shows more empty workers and less harm from wrong predictions (docs/design/placement.md).
fn placement_settings(first_class_ms: Millis) -> PlacementSettings {
    PlacementSettings { near_recycling_first: false, ..PlacementSettings::with_first_bound(first_class_ms) }
}

/// A snapshot that can't be used.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// Not decodable.
    #[snafu(display("snapshot can't be decoded: {source}"))]
    Decoding { source: minicbor::decode::Error },
    /// Its placement part can't be used.
    #[snafu(display("placement state: {source}"))]
    Placement { source: PlacementError },
    /// Its configuration can't be used.
    #[snafu(display("configuration: {source}"))]
    Configuration { source: SnapshotError },
    /// Its bytes are not those that were written.
    #[snafu(display("snapshot is damaged"))]
    Damaged,
    /// Another version of the format.
    #[snafu(display("snapshot version {found}, {SNAPSHOT_VERSION} wanted"))]
    Version { found: u8 },
}

/// A finished job is kept at least this many hold intervals, so that a caller's late resend finds it.
const LEAST_RETENTION_HOLDS: u64 = 60;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Urgency of the last jobs of a queue that was taken out of the tree.
const REMOVED_QUEUE_URGENCY: u8 = 6;
/// Doublings of the patience with a task that stalls, at most.
const MOST_STALLS: u8 = 16;

/// Bytes of the check in front of a snapshot's body.
const CHECK_BYTES: usize = 8;

/// Version of a snapshot's bytes.
pub const SNAPSHOT_VERSION: u8 = 1;

impl ClusterState {
    /// An empty cluster.
    pub fn new(rules: ClusterRules) -> Result<Self, StateError> {
        let ps = placement_settings(rules.first_class_ms);
        let bands = FleetBands::new(ps.clone(), LearnedDistributions::new(&ps), PlacementStrategy::Lava).context(PlacementSnafu)?;
        Ok(Self::of(Tables::new(rules), ConfigurationHistory::default(), bands))
    }

    /// Works out the indexes.
    fn of(tables: Tables, configuration: ConfigurationHistory, bands: Bands) -> Self {
        let mut s = ClusterState {
            tables,
            effective: Arc::default(),
            configuration,
            bands,
            ready: ReadyIndex::default(),
            names: BTreeMap::new(),
            worker_names: BTreeMap::new(),
            on_worker: BTreeMap::new(),
            queue_use: BTreeMap::new(),
            running_shapes: BTreeMap::new(),
            zone_room: BTreeMap::new(),
            open_jobs: BTreeMap::new(),
            queue_zones: BTreeMap::new(),
            timed: BTreeSet::new(),
            unproven: BTreeSet::new(),
            checks: BTreeSet::new(),
            overdue: BTreeMap::new(),
            gangs: BTreeSet::new(),
            finished: BTreeSet::new(),
        };
        s.refresh_effective();
        s.index();
        s
    }

    /// Encodes a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut body = Vec::new();
        let parts = (
            &self.tables,
            minicbor::bytes::ByteVec::from(self.configuration.encode()),
            minicbor::bytes::ByteVec::from(self.bands.encode()),
        );
        // Writing into a Vec can't fail.
        let _ = minicbor::encode(parts, &mut body);
        let mut v = Vec::with_capacity(1 + CHECK_BYTES + body.len());
        v.push(SNAPSHOT_VERSION);
        v.extend_from_slice(&Sha256::digest(&body)[..CHECK_BYTES]);
        v.extend_from_slice(&body);
        v
    }

    /// Decodes a snapshot.
    ///
    /// ```
    /// use scheduler_core::{ClusterRules, ClusterState};
    /// let s = ClusterState::new(ClusterRules::new(1_000)).unwrap();
    /// let back = ClusterState::from_bytes(&s.to_bytes()).unwrap();
    /// assert_eq!(back.digest(), s.digest());
    /// assert!(ClusterState::from_bytes(&[9]).is_err());
    /// ```
    pub fn from_bytes(b: &[u8]) -> Result<Self, StateError> {
        let (&found, rest) = b.split_first().unwrap_or((&0, &[]));
        ensure!(found == SNAPSHOT_VERSION, VersionSnafu { found });
        let (check, rest) = rest.split_at_checked(CHECK_BYTES).context(DamagedSnafu)?;
        ensure!(Sha256::digest(rest)[..CHECK_BYTES] == *check, DamagedSnafu);
        let (tables, c, p): (Tables, minicbor::bytes::ByteVec, minicbor::bytes::ByteVec) = minicbor::decode(rest).context(DecodingSnafu)?;
        let configuration = ConfigurationHistory::decode(&c, ConfigurationSettings::default()).context(ConfigurationSnafu)?;
        let ps = placement_settings(tables.rules.first_class_ms);
        let bands = FleetBands::decode(ps, PlacementStrategy::Lava, &p).context(PlacementSnafu)?;
        Ok(Self::of(tables, configuration, bands))
    }

    /// Digest of the whole state: equal on two schedulers that folded the same entries.
    pub fn digest(&self) -> String {
        let mut s = String::new();
        for b in Sha256::digest(self.to_bytes()) {
            // Writing into a String can't fail.
            let _ = fmt::Write::write_fmt(&mut s, format_args!("{b:02x}"));
        }
        s
    }

    /// A job by name.
    pub fn job(&self, name: &str) -> Option<&Job> {
        self.tables.jobs.get(self.names.get(name)?)
    }

    /// A worker by name.
    pub fn worker(&self, name: &str) -> Option<(WorkerIndex, &WorkerRecord)> {
        let i = *self.worker_names.get(name)?;
        Some((i, self.tables.workers.get(&i)?))
    }

    /// The settings in force for a queue in a zone. A tree without any queue allows every queue everywhere.
    pub fn queue_settings(&self, zone: &str, queue: &str) -> Option<Arc<EffectiveQueue>> {
        if self.queue_zones.is_empty() {
            return Some(self.effective.zone(zone).map(|z| z.inherited.clone()).unwrap_or_default());
        }
        self.effective.get(zone, queue).cloned()
    }

    /// The settings by which tasks of accepted jobs of a service are placed. A queue that was taken out of the tree lends its last jobs what
    /// the zone passes down. One that takes jobs of other services since still places those that it took; before that was promised it
    /// placed them nowhere.
    pub fn placement_queue_settings(&self, zone: &str, queue: &str, service: &str) -> Option<Arc<EffectiveQueue>> {
        let settings = self.queue_settings_or_passed_down(zone, queue)?;
        let services = &settings.settings.services;
        let takes_service = services.is_empty() || services.iter().any(|taken| taken == service);
        (takes_service || self.tables.rules.fixes_promises()).then_some(settings)
    }

    /// The settings of a queue in a zone; what the zone passes down for a queue that was taken out of the tree.
    pub(crate) fn queue_settings_or_passed_down(&self, zone: &str, queue: &str) -> Option<Arc<EffectiveQueue>> {
        if self.queue_zones.contains_key(queue) {
            return self.queue_settings(zone, queue);
        }
        Some(self.effective.zone(zone).map(|z| z.inherited.clone()).unwrap_or_default())
    }

    /// What a queue grants over all of its zones; `None` when no zone has it (enabled).
    pub fn queue_bounds(&self, queue: &str) -> Option<QueueBounds> {
        let fold = |z: &Name| self.queue_settings(z, queue).filter(|q| q.settings.enabled);
        let all: Vec<Arc<EffectiveQueue>> = match self.queue_zones.is_empty() {
            true => vec![Arc::default()],
            false => self.queue_zones.get(queue)?.iter().filter_map(fold).collect(),
        };
        let most = |f: fn(&QueueSettings) -> u64| all.iter().map(|q| f(&q.settings)).max();
        Some(QueueBounds {
            urgency: most(|s| s.urgency)? as u8,
            waiting_jobs: most(|s| s.max_waiting_jobs)?,
            retention_ms: most(|s| s.retention_s)? * MS_PER_S,
            allowed_failures: most(|s| s.allowed_failures_max)?,
        })
    }

    /// How long a job that ends now is kept: as long as it was promised, and longer where its queue says so now. A queue that is out of the
    /// tree lends jobs without a promise what its zones pass down.
    pub(crate) fn retention_ms(&self, queue: &str, promised: Option<Millis>) -> Millis {
        let now = self.queue_bounds(queue).map(|bounds| bounds.retention_ms);
        let least = LEAST_RETENTION_HOLDS * self.tables.rules.hold_interval_ms;
        let passed_down = || self.effective.zones().values().map(|zone| zone.inherited.settings.retention_s * MS_PER_S).max();
        let kept = promised.max(now).or_else(|| self.tables.rules.fixes_promises().then(passed_down).flatten());
        kept.unwrap_or(0).max(least)
    }

    /// The urgency in force of a job of a queue: what its caller asked for, up to its queue's.
    pub fn urgency(&self, queue: &str, asked: Option<u8>) -> u8 {
        let most = self.queue_bounds(queue).map_or(REMOVED_QUEUE_URGENCY, |bounds| bounds.urgency);
        asked.map_or(most, |a| a.min(most))
    }

    /// Reads the tree's values again.
    pub fn refresh_effective(&mut self) {
        self.effective = Arc::new(EffectiveTree::new(self.configuration.tree()));
        self.queue_zones.clear();
        for ((z, q), _) in self.effective.iter() {
            self.queue_zones.entry(q.to_owned()).or_default().push(z.to_owned());
        }
    }

    /// What the predictor and the ranking read of a task.
    pub fn task_to_place(&self, spec: &JobSpec, step: u16, key: u64) -> TaskToPlace {
        let st = &spec.steps[step as usize];
        let labels = spec.labels.iter().flat_map(|(k, v)| [k.as_str(), v.as_str()]);
        let kind = TaskFeatures::digest([spec.service.as_str(), st.name.as_str()].into_iter().chain(labels));
        let room = room_of(st);
        TaskToPlace::new(key, TaskFeatures::digest([spec.queue.as_str()]), kind, room, spec.run_until_cancelled)
    }

    /// How long an attempt may run before it counts as stalled; `None` while too little is known of its like.
    pub(crate) fn stall_limit(&self, task: TaskId) -> Option<Millis> {
        let j = self.tables.jobs.get(&task.job)?;
        let t = j.step(task.step_id())?.tasks.get(task.index as usize)?;
        let place = self.task_to_place(j.spec.as_deref()?, task.step, 0);
        let (longest, _) = self.bands.predictor().longest_ms(&place.features)?;
        let limit = longest.max(self.tables.rules.hold_interval_ms) * self.tables.rules.stall_ratio;
        let doubts = self.tables.stall_doubts.get(&(place.features.queue, place.features.kind)).copied().unwrap_or(0);
        Some(limit.max(self.tables.rules.stall_check_ms) << t.stalls.max(doubts).min(MOST_STALLS))
    }

    /// Whether a gateway holds attempts of a step.
    pub(crate) fn holds_of(&self, gateway: &str, step: StepId) -> bool {
        let mine = |a: &Attempt| self.tables.workers.get(&a.worker).is_some_and(|w| w.gateway.as_deref() == Some(gateway));
        self.tables.attempts.range(step.tasks()).any(|(_, a)| mine(a))
    }

    /// Queue and kind of a task, and its worker.
    pub(crate) fn like(&self, task: TaskId) -> Option<((u64, u64), WorkerIndex)> {
        let spec = self.tables.jobs.get(&task.job)?.spec.as_deref()?;
        let f = self.task_to_place(spec, task.step, 0).features;
        Some(((f.queue, f.kind), self.tables.attempts.get(&task)?.worker))
    }

    /// Counts an overdue attempt in, or out.
    pub(crate) fn count_overdue(&mut self, task: TaskId, by: i64) {
        let Some((like, worker)) = self.like(task) else { return };
        let all = self.overdue.entry(like).or_default();
        let n = all.entry(worker).or_default();
        *n = n.saturating_add_signed(by);
        if *n == 0 {
            all.remove(&worker);
        }
        if all.is_empty() {
            self.overdue.remove(&like);
        }
    }

    /// How many attempts like this one are overdue on its worker, and on all others.
    pub(crate) fn overdue_of(&self, task: TaskId) -> (u64, u64) {
        let Some((like, worker)) = self.like(task) else { return (0, 0) };
        let Some(all) = self.overdue.get(&like) else { return (0, 0) };
        let here = all.get(&worker).copied().unwrap_or(0);
        (here, all.values().sum::<u64>() - here)
    }

    /// Whether placement finds a step, and where.
    pub(crate) fn refresh_ready(&mut self, id: StepId) {
        let Some(j) = self.tables.jobs.get(&id.job) else { return };
        let Some(spec) = j.spec.as_deref() else { return };
        let (Some(s), Some(st)) = (j.step(id), spec.steps.get(id.step as usize)) else { return };
        let Some(occurrence) = j.occurrences.get(id.occurrence as usize) else { return };
        let open = occurrence.due && j.ending.is_none() && s.waits_for == 0;
        let ready = open && s.waiting_count() > 0 && (!st.gang || s.live == 0);
        let due_at = occurrence.due_at;
        self.ready.set(ready_group(spec, id), (due_at, id), ready);
    }

    /// With how many members a gang may start: with all that wait, which are all that it has where they end together. `None` while it may
    /// not start.
    pub(crate) fn gang_to_start(&self, id: StepId) -> Option<u32> {
        let job = self.tables.jobs.get(&id.job)?;
        let (step, spec) = (job.step(id)?, job.spec.as_deref()?.steps.get(usize::from(id.step))?);
        let waiting = step.waiting_count();
        let whole = !spec.is_gang_that_ends_together() || waiting == spec.tasks && !step.gang_done;
        (step.live == 0 && whole).then_some(waiting)
    }

    /// Takes over the bounds of the placement classes.
    pub(crate) fn retune_bands(&mut self) {
        self.bands.retune(placement_settings(self.tables.rules.first_class_ms));
    }

    /// The number that a new job gets.
    pub(crate) fn next_job_number(&self, spec: &JobSpec) -> JobNumber {
        let free = |n: &JobNumber| !self.tables.jobs.contains_key(n);
        spec.number.unwrap_or_else(|| (self.tables.next_job..).find(free).unwrap_or(self.tables.next_job))
    }

    /// Works out all indexes from the tables.
    fn index(&mut self) {
        for (i, w) in &self.tables.workers {
            self.worker_names.insert(w.told.name.clone(), *i);
            self.on_worker.entry(*i).or_default();
            let z = self.zone_room.entry(w.told.zone.clone()).or_default();
            z.0 = z.0.add(w.room());
            z.1 = z.1.add(w.used);
        }
        for (t, a) in &self.tables.attempts {
            self.on_worker.entry(a.worker).or_default().insert(*t);
            if a.started.is_none() && a.stop.is_none() {
                self.unproven.insert((a.intended_at + self.tables.rules.unproven_ms, *t));
            }
            if a.check_at > 0 && a.stop.is_none() {
                self.checks.insert((a.check_at, *t));
            }
            if let (Some(j), Some(w)) = (self.tables.jobs.get(&t.job), self.tables.workers.get(&a.worker)) {
                let u = self.queue_use.entry((w.told.zone.clone(), j.summary.queue.clone())).or_default();
                *u = (u.0 + 1, u.1.add(a.room));
            }
            if let Some(spec) = self.tables.jobs.get(&t.job).and_then(|j| j.spec.as_deref()) {
                *self.running_shapes.entry((spec.service.clone(), a.room)).or_default() += 1;
            }
        }
        let mut steps = Vec::new();
        for j in self.tables.jobs.values() {
            self.names.insert(j.summary.name.clone(), j.number);
            if !j.summary.state.is_final() {
                *self.open_jobs.entry(j.summary.queue.clone()).or_default() += 1;
            }
            for (k, o) in j.occurrences.iter().enumerate() {
                if !o.due && j.ending.is_none() {
                    self.timed.insert((o.due_at, j.number, k as u16));
                }
            }
            for id in j.step_ids() {
                steps.push(id);
                if let Some(by) = j.step(id).and_then(|s| s.gang_by) {
                    self.gangs.insert((by, id));
                }
            }
        }
        for id in steps {
            self.refresh_ready(id);
        }
        let overdue: Vec<TaskId> = self.tables.attempts.iter().filter(|(_, a)| a.overdue).map(|(t, _)| *t).collect();
        for t in overdue {
            self.count_overdue(t, 1);
        }
        let over = self.tables.jobs.values().filter(|j| j.is_over()).map(|j| (j.forget_at, j.number));
        self.finished.extend(over);
    }
}

/// What makes the tasks of a step alike with those of others.
fn ready_group(spec: &JobSpec, id: StepId) -> ReadyGroup {
    let st = &spec.steps[id.step as usize];
    ReadyGroup {
        queue: spec.queue.clone(),
        asked: spec.urgency,
        service: spec.service.clone(),
        kinds: st.kinds.clone(),
        room: room_of(st),
        gang: if st.gang { st.tasks } else { 0 },
        same_rack: st.same_rack,
        labels: st.labels.clone(),
        near_rack: st.near_rack.clone(),
        spread: (st.most_per_worker > 0).then_some((st.most_per_worker, id)),
    }
}

/// The room that one task of a step takes.
pub(crate) fn room_of(st: &StepSpec) -> Room {
    Room::new(st.cpu_millis, st.memory_mb).with_gpus(st.gpus)
}
