use crate::prelude::*;

/// Replays a trace on a fleet and measures.
pub struct Replay<'a, P, S> {
    trace: &'a Trace,
    fleet: FleetBands<P, S>,
    /// (end, key, worker)
    ends: BinaryHeap<Reverse<(Millis, TaskKey, WorkerIndex)>>,
    /// Arrivals that found no place yet, oldest first.
    waiting: VecDeque<&'a TraceArrival>,
    until_cancelled: BTreeSet<TaskKey>,
    /// True end of each running task.
    end_of: BTreeMap<TaskKey, Millis>,
    /// Waits of gangs and of single tasks: (number, sum, longest).
    waits: [(u64, Millis, Millis); 2],
    samples: f64,
    opened: u64,
    report: ReplayReport,
}

impl<'a, P: LifetimePredictor, S: RankWorkers> Replay<'a, P, S> {
    /// Share of the trace that is not measured.
    pub const WARM_UP: f64 = 0.4;
    /// Most waiting arrivals tried again after one end.
    const TRIES: usize = 32;

    /// Runs the trace from its start to its end.
    pub fn run(
        trace: &'a Trace,
        shape: &FleetShape,
        settings: &PlacementSettings,
        predictor: P,
        strategy: S,
    ) -> Result<ReplayReport, PlacementError> {
        let mut fleet = FleetBands::new(settings.clone(), predictor, strategy)?;
        (0..shape.workers).for_each(|w| fleet.worker_added(0, w, shape.room));
        let mut replay = Self {
            trace,
            fleet,
            ends: BinaryHeap::new(),
            waiting: VecDeque::new(),
            until_cancelled: BTreeSet::new(),
            end_of: BTreeMap::new(),
            waits: [(0, 0, 0); 2],
            samples: 0.0,
            opened: 0,
            report: ReplayReport::default(),
        };
        replay.play(settings.class_bounds_ms[0] * 20)?;
        Ok(replay.finish())
    }

    fn play(&mut self, sample_period: Millis) -> Result<(), PlacementError> {
        let inflation = Inflation::of(self.trace);
        let warm = (self.trace.length as f64 * Self::WARM_UP) as Millis;
        let mut next_sample = warm;
        for arrival in &self.trace.arrivals {
            while next_sample <= arrival.at {
                self.end_until(next_sample, warm)?;
                self.sample(next_sample, &inflation);
                next_sample += sample_period;
            }
            self.end_until(arrival.at, warm)?;
            if !self.place(arrival, arrival.at, warm)? {
                self.waiting.push_back(arrival);
            }
        }
        Ok(())
    }

    fn end_until(&mut self, now: Millis, warm: Millis) -> Result<(), PlacementError> {
        while let Some(Reverse((at, key, worker))) = self.ends.peek().copied().filter(|Reverse((at, ..))| *at <= now) {
            self.ends.pop();
            self.end_of.remove(&key);
            let outcome = match self.until_cancelled.remove(&key) {
                true => TaskOutcome::Stopped,
                false => TaskOutcome::Finished,
            };
            self.fleet.task_ended(at, worker, key, outcome)?;
            for _ in 0..self.waiting.len().min(Self::TRIES) {
                let Some(arrival) = self.waiting.pop_front() else {
                    break;
                };
                if !self.place(arrival, at, warm)? {
                    self.waiting.push_back(arrival);
                }
            }
            self.waiting.make_contiguous().sort_by_key(|a| a.at);
        }
        Ok(())
    }

    fn place(&mut self, arrival: &TraceArrival, now: Millis, warm: Millis) -> Result<bool, PlacementError> {
        let places = match arrival.tasks.as_slice() {
            [(task, _)] => self.fleet.assign(now, task, |_| true).map(|w| vec![w]),
            gang => {
                let gang: Vec<TaskToPlace> = gang.iter().map(|(t, _)| *t).collect();
                self.fleet.gang_assign(now, &gang, |_, _| true)
            }
        };
        let Some(places) = places else {
            return Ok(false);
        };
        for ((task, lifetime), worker) in arrival.tasks.iter().zip(places) {
            self.opened += u64::from(self.fleet.worker(worker).is_some_and(|w| w.tasks().is_empty()));
            self.fleet.task_placed(now, worker, task)?;
            self.ends.push(Reverse((now + lifetime, task.key, worker)));
            self.end_of.insert(task.key, now + lifetime);
            if task.features.until_cancelled {
                self.until_cancelled.insert(task.key);
            }
            self.report.tasks += 1;
        }
        if arrival.at >= warm {
            let (number, sum, most) = &mut self.waits[usize::from(arrival.tasks.len() == 1)];
            let wait = now - arrival.at;
            (*number, *sum, *most) = (*number + 1, *sum + wait, wait.max(*most));
        }
        Ok(true)
    }

    fn sample(&mut self, now: Millis, inflation: &Inflation) {
        let (mut empty, mut drain, mut tasks) = (0.0, 0.0, 0.0);
        let (mut used, mut whole) = (Room::default(), Room::default());
        let mut frees = Vec::new();
        for (_, w) in self.fleet.workers() {
            empty += f64::from(u8::from(w.tasks().is_empty()));
            tasks += w.tasks().len() as f64;
            let own = w.tasks().keys().filter(|k| !self.until_cancelled.contains(k));
            let last = own.filter_map(|k| self.end_of.get(k)).max().copied().unwrap_or(now);
            drain += last.saturating_sub(now) as f64 / 1e3;
            used = used.add(w.used());
            whole = whole.add(w.room());
            frees.push((w.room(), w.free()));
        }
        let n = frees.len() as f64;
        let (cpu, memory) = inflation.stranded(&frees);
        let r = &mut self.report;
        self.samples += 1.0;
        r.empty_pct += 100.0 * empty / n;
        r.cpu_used_pct += 100.0 * used.cpu_millis as f64 / whole.cpu_millis as f64;
        r.memory_used_pct += 100.0 * used.memory_mb as f64 / whole.memory_mb as f64;
        r.stranded_cpu_pct += 100.0 * cpu;
        r.stranded_memory_pct += 100.0 * memory;
        r.drain_s += drain / n;
        r.drain_used_s += drain / (n - empty).max(1.0);
        r.tasks_per_used_worker += tasks / (n - empty).max(1.0);
    }

    fn finish(self) -> ReplayReport {
        let mut r = self.report;
        for sum in [
            &mut r.empty_pct,
            &mut r.cpu_used_pct,
            &mut r.memory_used_pct,
            &mut r.stranded_cpu_pct,
            &mut r.stranded_memory_pct,
            &mut r.drain_s,
            &mut r.drain_used_s,
            &mut r.tasks_per_used_worker,
        ] {
            *sum /= self.samples.max(1.0);
        }
        let mean = |(number, sum, _): (u64, Millis, Millis)| sum as f64 / 1e3 / number.max(1) as f64;
        let [gangs, singles] = self.waits;
        r.gang_wait_s = mean(gangs);
        r.gang_wait_most_s = gangs.2 as f64 / 1e3;
        r.task_wait_s = mean(singles);
        r.never_placed = self.waiting.len() as u64;
        r.opened_pct = 100.0 * self.opened as f64 / r.tasks.max(1) as f64;
        r
    }
}
