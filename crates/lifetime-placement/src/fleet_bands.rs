use crate::prelude::*;

/// The bands of all workers, folded from events, and the ranking over them.
///
/// Every event carries its log time. What falls due by the passing of time
/// alone (time budgets, repredictions) is worked off first, at the time at
/// which it fell due. So the state depends on the events alone, not on how
/// often [`FleetBands::tick`] is called in between.
///
/// ```
/// use lifetime_placement::prelude::*;
/// let settings = PlacementSettings::default();
/// let learned = LearnedDistributions::new(&settings);
/// let mut fleet = FleetBands::new(settings, learned, PlacementStrategy::Lava).unwrap();
/// fleet.worker_added(0, 0, Room::new(16_000, 65_536));
/// fleet.worker_added(0, 1, Room::new(16_000, 65_536));
/// let task = TaskToPlace::new(1, 7, 8, Room::new(500, 1_024), false);
/// let worker = fleet.assign(10, &task, |w| w != 0).unwrap();
/// assert_eq!(worker, 1);
/// fleet.task_placed(10, worker, &task).unwrap();
/// assert_eq!(fleet.worker(1).unwrap().band().state, WorkerBandState::Open);
/// fleet.task_ended(2_010, worker, 1, TaskOutcome::Finished).unwrap();
/// assert_eq!(fleet.worker(1).unwrap().band().state, WorkerBandState::Empty);
/// ```
#[derive(Clone, Debug)]
pub struct FleetBands<P, S = PlacementStrategy> {
    settings: PlacementSettings,
    chart: BandChart,
    predictor: P,
    strategy: S,
    workers: Vec<Option<WorkerSlot>>,
    /// (when, worker): what falls due by the passing of time.
    due: BTreeSet<(Millis, WorkerIndex)>,
    now: Millis,
}

impl<P: LifetimePredictor, S: RankWorkers> FleetBands<P, S> {
    /// No workers yet.
    pub fn new(settings: PlacementSettings, predictor: P, strategy: S) -> Result<Self, PlacementError> {
        Ok(Self { settings, chart: BandChart::embedded()?, predictor, strategy, workers: Vec::new(), due: BTreeSet::new(), now: 0 })
    }

    /// The settings.
    pub const fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Takes over other settings. Time budgets that run go on as they were set.
    pub fn retune(&mut self, settings: PlacementSettings) {
        self.settings = settings;
    }

    /// The predictor.
    pub const fn predictor(&self) -> &P {
        &self.predictor
    }

    /// What is held for a worker.
    pub fn worker(&self, worker: WorkerIndex) -> Option<&WorkerSlot> {
        self.workers.get(worker as usize)?.as_ref()
    }

    /// All workers by index.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerSlot)> {
        self.workers.iter().enumerate().filter_map(|(i, w)| Some((i as WorkerIndex, w.as_ref()?)))
    }

    /// Folds one event of the log.
    pub fn fold(&mut self, now: Millis, event: &PlacementEvent) -> Result<(), PlacementError> {
        match *event {
            PlacementEvent::WorkerAdded { worker, room } => self.worker_added(now, worker, room),
            PlacementEvent::WorkerRemoved { worker } => self.worker_removed(now, worker)?,
            PlacementEvent::TaskPlaced { worker, ref task } => self.task_placed(now, worker, task)?,
            PlacementEvent::TaskStarted { worker, key } => self.task_started(now, worker, key)?,
            PlacementEvent::TaskEnded { worker, key, outcome } => self.task_ended(now, worker, key, outcome)?,
            PlacementEvent::Tick => self.tick(now),
        }
        Ok(())
    }

    /// A worker joined. One that is known keeps its tasks and band, and gets the new room.
    pub fn worker_added(&mut self, now: Millis, worker: WorkerIndex, room: Room) {
        self.tick(now);
        let i = worker as usize;
        if self.workers.len() <= i {
            self.workers.resize(i + 1, None);
        }
        match &mut self.workers[i] {
            Some(slot) => slot.room = room,
            none => *none = Some(WorkerSlot::new(room, self.chart.initial())),
        }
    }

    /// A worker is gone. Nothing is learned from what it held; the caller ends
    /// tasks first where an outcome is known.
    pub fn worker_removed(&mut self, now: Millis, worker: WorkerIndex) -> Result<(), PlacementError> {
        self.tick(now);
        let slot = self.workers.get_mut(worker as usize).and_then(Option::take);
        let slot = slot.context(UnknownWorkerSnafu { worker })?;
        self.due.remove(&(slot.due(), worker));
        for t in slot.tasks.values() {
            self.predictor.task_gone(&t.features);
        }
        Ok(())
    }

    /// The intent to start a task on a worker: its room is charged from now on.
    pub fn task_placed(&mut self, now: Millis, worker: WorkerIndex, task: &TaskToPlace) -> Result<(), PlacementError> {
        self.tick(now);
        let now = self.now;
        let slot = Self::slot(&mut self.workers, worker)?;
        let key = task.key;
        ensure!(!slot.tasks.contains_key(&key), TaskAlreadyPlacedSnafu { worker, key });
        let before = slot.due();
        self.predictor.task_placed(&task.features);
        let remaining = self.predictor.remaining_ms(&task.features, 0).expected_ms;
        let exit = now.saturating_add(remaining);
        let running = RunningTask { features: task.features, room: task.room, placed_at: now, started_at: now, exit };
        slot.tasks.insert(key, running);
        slot.used = slot.used.add(task.room);
        slot.exit = slot.exit.max(Some(exit));
        if slot.tasks.len() == 1 {
            slot.repredict_at = now + self.settings.span_ms(self.settings.repredict_ratio).max(1);
        }
        let class = self.settings.class_of(remaining);
        let filled = slot.used.dominant_ppm(slot.room) > (self.settings.fill_threshold * 1e6) as u64;
        let WorkerSlot { band, tasks, .. } = slot;
        let keys = || tasks.keys().copied().collect();
        band.apply(&self.chart, &self.settings, (now, BandEvent::TaskPlaced), class, keys);
        if filled {
            band.apply(&self.chart, &self.settings, (now, BandEvent::Filled), class, keys);
        }
        let after = slot.due();
        self.reschedule(worker, before, after);
        Ok(())
    }

    /// The first proof that a task runs. Its start is taken to lie between the
    /// intent and this proof, and no later than the set lateness behind the intent.
    pub fn task_started(&mut self, now: Millis, worker: WorkerIndex, key: TaskKey) -> Result<(), PlacementError> {
        self.tick(now);
        let now = self.now;
        let late = self.settings.span_ms(self.settings.late_start_ratio);
        let slot = Self::slot(&mut self.workers, worker)?;
        let task = slot.tasks.get_mut(&key).context(UnknownTaskSnafu { worker, key })?;
        task.started_at = now.min(task.placed_at.saturating_add(late));
        Ok(())
    }

    /// The proof that a task is gone: its room is free, its lifetime is learned.
    pub fn task_ended(&mut self, now: Millis, worker: WorkerIndex, key: TaskKey, outcome: TaskOutcome) -> Result<(), PlacementError> {
        self.tick(now);
        let now = self.now;
        let slot = Self::slot(&mut self.workers, worker)?;
        let before = slot.due();
        let task = slot.tasks.remove(&key).context(UnknownTaskSnafu { worker, key })?;
        slot.used = slot.used.sub(task.room);
        slot.refresh_exit();
        let WorkerSlot { band, tasks, .. } = slot;
        let event = match (tasks.is_empty(), band.residuals.remove(&key), band.residuals.is_empty()) {
            (true, ..) => Some(BandEvent::Emptied),
            (false, true, true) => Some(BandEvent::ResidualsGone),
            _ => None,
        };
        if let Some(event) = event {
            let keys = || tasks.keys().copied().collect();
            band.apply(&self.chart, &self.settings, (now, event), LifetimeClass::SHORTEST, keys);
        }
        if slot.tasks.is_empty() {
            slot.repredict_at = FOREVER;
        }
        let after = slot.due();
        self.reschedule(worker, before, after);
        self.predictor.task_gone(&task.features);
        let lifetime = now.saturating_sub(task.started_at);
        match outcome {
            TaskOutcome::Finished => self.predictor.learn(&task.features, lifetime, false),
            TaskOutcome::Failed | TaskOutcome::Stopped => self.predictor.learn(&task.features, lifetime, true),
            TaskOutcome::NeverStarted => {}
        }
        Ok(())
    }

    /// Time passed: works off what fell due, at the time at which it fell due.
    /// Log time never goes back; an earlier `now` counts as the latest seen.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        while let Some((when, worker)) = self.due.first().copied().filter(|(when, _)| *when <= self.now) {
            self.due.pop_first();
            if let Some(slot) = self.workers.get_mut(worker as usize).and_then(Option::as_mut) {
                if slot.band.time_budget_ends <= when {
                    let WorkerSlot { band, tasks, .. } = slot;
                    let keys = || tasks.keys().copied().collect();
                    let event = (when, BandEvent::TimeBudgetOver);
                    band.apply(&self.chart, &self.settings, event, LifetimeClass::TOP, keys);
                }
                if slot.repredict_at <= when {
                    // Only the last of several missed repredictions counts.
                    let period = self.settings.span_ms(self.settings.repredict_ratio).max(1);
                    let at = slot.repredict_at + (self.now - slot.repredict_at) / period * period;
                    for t in slot.tasks.values_mut() {
                        let uptime = at.saturating_sub(t.started_at);
                        t.exit = at.saturating_add(self.predictor.remaining_ms(&t.features, uptime).expected_ms);
                    }
                    slot.refresh_exit();
                    slot.repredict_at = at + period;
                }
                if slot.due() < FOREVER {
                    self.due.insert((slot.due(), worker));
                }
            }
        }
    }

    /// The best worker for a task among those that have room and are eligible
    /// (kind, zone, drain and the like are the caller's to judge). It ranks the
    /// bands as they were folded last, so call [`Self::tick`] with `now` before.
    pub fn assign(&self, now: Millis, task: &TaskToPlace, eligible: impl Fn(WorkerIndex) -> bool) -> Option<WorkerIndex> {
        let ranked = self.ranked(now, task);
        let workers = self.workers().map(|(worker, _)| worker).filter(|worker| eligible(*worker));
        workers.filter_map(|worker| Some((self.score(now, ranked, &self.strategy, worker)?, worker))).min().map(|(_, worker)| worker)
    }

    /// The score of one worker for a task under a ranking; `None` where it has no room.
    pub fn score(&self, now: Millis, task: RankedTask, ranking: &impl RankWorkers, worker: WorkerIndex) -> Option<Score> {
        let slot = self.worker(worker).filter(|slot| task.room.fits(slot.free()))?;
        Some(ranking.score(&self.settings, now, task, slot))
    }

    /// When a task that starts now is expected to end.
    pub fn expected_exit(&self, now: Millis, task: &TaskToPlace) -> Millis {
        self.ranked(now, task).exit
    }

    /// Workers for all of `tasks` at once, in their order, or for none.
    /// Larger tasks are assigned first; tasks of one shape always find their
    /// places if there are any.
    pub fn gang_assign(
        &self,
        now: Millis,
        tasks: &[TaskToPlace],
        eligible: impl Fn(usize, WorkerIndex) -> bool,
    ) -> Option<Vec<WorkerIndex>> {
        let mut order: Vec<usize> = (0..tasks.len()).collect();
        order.sort_by_key(|i| (Reverse(tasks[*i].room.cpu_millis.max(tasks[*i].room.memory_mb)), *i));
        let mut touched: BTreeMap<WorkerIndex, WorkerSlot> = BTreeMap::new();
        let mut places = vec![0; tasks.len()];
        for n in order {
            let task = &tasks[n];
            let ranked = self.ranked(now, task);
            let (_, i) = self
                .workers()
                .map(|(i, w)| (i, touched.get(&i).unwrap_or(w)))
                .filter(|(i, w)| task.room.fits(w.free()) && eligible(n, *i))
                .map(|(i, w)| (self.strategy.score(&self.settings, now, ranked, w), i))
                .min()?;
            let slot = match touched.get_mut(&i) {
                Some(s) => s,
                None => touched.entry(i).or_insert(self.worker(i)?.clone()),
            };
            let RankedTask { room, class, exit } = ranked;
            slot.used = slot.used.add(room);
            slot.exit = slot.exit.max(Some(exit));
            slot.band.apply(&self.chart, &self.settings, (now, BandEvent::TaskPlaced), class, BTreeSet::new);
            places[n] = i;
        }
        Some(places)
    }

    /// What a task that starts now is ranked by.
    pub fn ranked(&self, now: Millis, task: &TaskToPlace) -> RankedTask {
        let remaining = self.predictor.remaining_ms(&task.features, 0).expected_ms;
        RankedTask { room: task.room, class: self.settings.class_of(remaining), exit: now.saturating_add(remaining) }
    }

    fn slot(workers: &mut [Option<WorkerSlot>], worker: WorkerIndex) -> Result<&mut WorkerSlot, PlacementError> {
        let slot = workers.get_mut(worker as usize).and_then(Option::as_mut);
        slot.context(UnknownWorkerSnafu { worker })
    }

    fn reschedule(&mut self, worker: WorkerIndex, before: Millis, after: Millis) {
        if before != after {
            self.due.remove(&(before, worker));
            if after < FOREVER {
                self.due.insert((after, worker));
            }
        }
    }
}

/// What is saved: workers, log time and the predictor.
type Saved<P> = (Vec<Option<WorkerSlot>>, Millis, P);

impl<P: LifetimePredictor + Encode<()> + for<'b> Decode<'b, ()>, S: RankWorkers> FleetBands<P, S> {
    /// The whole state in bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let mut e = minicbor::Encoder::new(&mut out);
        let saved = (&self.workers, self.now, &self.predictor);
        // Writing to memory can't fail.
        let _infallible = e.encode(saved);
        out
    }

    /// The state from its bytes, under the settings and strategy now in force.
    pub fn decode(settings: PlacementSettings, strategy: S, bytes: &[u8]) -> Result<Self, PlacementError> {
        let (workers, now, predictor): Saved<P> = minicbor::decode(bytes).context(MalformedStateSnafu)?;
        let mut fleet = Self::new(settings, predictor, strategy)?;
        fleet.due = workers
            .iter()
            .enumerate()
            .filter_map(|(i, w)| Some((w.as_ref()?.due(), i as WorkerIndex)))
            .filter(|(due, _)| *due < FOREVER)
            .collect();
        (fleet.workers, fleet.now) = (workers, now);
        Ok(fleet)
    }

    /// Digest of the state: equal on two sides if they folded the same events.
    pub fn digest(&self) -> StateDigest {
        Sha256::digest(self.encode()).into()
    }
}
