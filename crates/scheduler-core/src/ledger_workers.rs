use crate::prelude::*;

impl Ledger {
    /// A worker told of itself.
    pub(crate) fn register(&mut self, told: RegisterWorker) -> CallResult<WorkerRegistered> {
        let name = told.name.clone();
        let faults = worker_faults(&told);
        ensure!(faults.is_empty(), call_error::invalid(faults));
        let Some((i, w)) = self.state.worker(&name) else {
            let worker = self.state.tables.next_worker;
            self.emit(Event::WorkerKnown { worker, told });
            self.share_workers();
            return Ok(WorkerRegistered { name, reborn: false });
        };
        let same_place = (&w.told.zone, &w.told.service, &w.told.kind) == (&told.zone, &told.service, &told.kind);
        let busy = self.state.on_worker.get(&i).is_some_and(|s| !s.is_empty());
        ensure!(same_place || !busy, call_error::not_allowed(&name, "zone, service or kind can't change while tasks are on it"));
        ensure!(!w.old_boots.contains(&told.boot_id), call_error::not_allowed(&name, "that boot is over"));
        let reborn = w.told.boot_id != told.boot_id;
        // A registration may come late: that a boot has followed another is proven by its hold answers alone.
        let told = RegisterWorker { boot_id: w.told.boot_id.clone(), ..told };
        if w.told != told {
            self.emit(Event::WorkerKnown { worker: i, told });
        }
        self.share_workers();
        Ok(WorkerRegistered { name, reborn })
    }

    /// A worker came back with another boot. That proves the end of all that was known to run on the old one. A start
    /// that was not proven may still reach the new boot, so it is voided there.
    fn reborn(&mut self, worker: WorkerIndex, boot_id: &str) {
        let old = self.state.tables.workers[&worker].told.boot_id.clone();
        self.emit(Event::WorkerReborn { worker, boot_id: boot_id.to_owned() });
        for t in self.tasks_on(worker) {
            let started = self.state.tables.attempts.get(&t).and_then(|a| a.started.as_ref()).map(|s| s.1.clone());
            match started {
                Some(b) if b == old => self.attempt_over(t, TaskEvent::Lost),
                Some(_) => {}
                None => self.stop(t, StopReason::Unproven),
            }
        }
    }

    /// The tasks out at a worker.
    pub(crate) fn tasks_on(&self, worker: WorkerIndex) -> Vec<TaskId> {
        self.state.on_worker.get(&worker).into_iter().flatten().copied().collect()
    }

    /// What a gateway learned from a worker. Each line is checked against the one attempt that is out. Ends, starts and voids
    /// stay true whoever tells them; what a worker is like now, and that its lease is over, counts from its holder alone.
    pub(crate) fn facts(&mut self, f: &WorkerFacts) {
        let Some((i, w)) = self.state.worker(&f.worker) else { return };
        let mut old = w.told.boot_id != f.boot_id;
        if old && !w.old_boots.contains(&f.boot_id) && f.follows.as_ref() == Some(&w.told.boot_id) {
            self.reborn(i, &f.boot_id);
            old = false;
        }
        for c in &f.checkpoints {
            self.checkpoint(i, c.attempt, &c.checkpoint);
        }
        for e in &f.ended {
            self.ended(i, e);
        }
        if f.gone {
            return self.worker_is_gone(i);
        }
        if old {
            // A boot that is over, or not known to follow, can tell of ends; its starts and voids prove nothing.
            return;
        }
        for &a in &f.started {
            self.start_seen(i, a, f);
        }
        for &a in &f.voided {
            self.runs_no_more(i, a);
        }
        if self.state.tables.workers[&i].is_assigned(f.assignment) {
            self.holder_tells(i, f);
        } else if f.tells_of_now() {
            self.emit(Event::StaleFacts { worker: i, assignment: f.assignment });
        }
    }

    /// An attempt runs on a worker.
    fn start_seen(&mut self, worker: WorkerIndex, a: AttemptId, f: &WorkerFacts) {
        let at = self.now();
        match self.live(worker, a) {
            Some(x) if x.started.is_none() => {
                self.emit(Event::AttemptStarted { task: a.task, boot_id: f.boot_id.clone(), at });
                self.settle_gang(a.task);
            }
            Some(_) => {}
            None if self.is_over(a) && !self.has_ended(a) && !f.ended.iter().any(|e| e.attempt == a) => {
                self.emit(Event::OrphanSeen { worker, attempt: a })
            }
            None => {}
        }
    }

    /// What the gateway that holds a worker tells of it as it is now.
    fn holder_tells(&mut self, i: WorkerIndex, f: &WorkerFacts) {
        for &a in &f.missing {
            if self.live(i, a).is_some_and(|x| x.started.as_ref().is_some_and(|s| s.1 == f.boot_id)) {
                self.stop(a.task, StopReason::Missing);
            } else {
                self.orphan_gone(i, a);
            }
        }
        for &a in &f.lost {
            self.runs_no_more(i, a);
        }
        for &a in &f.stalled {
            let lasting = self.state.tables.jobs.get(&a.task.job).and_then(|j| j.spec.as_ref()).is_none_or(|s| s.run_until_cancelled);
            if !lasting && self.live(i, a).is_some_and(|x| x.stop.is_none()) {
                self.stop(a.task, StopReason::Stalled);
                self.emit(Event::WorkerHoldsUp { worker: i });
            }
        }
        let Some(w) = self.state.tables.workers.get(&i) else { return };
        if let Some(asked) = f.draining.filter(|d| *d != w.drain_asked) {
            let ordered = w.drain_ordered;
            self.emit(Event::WorkerDraining { worker: i, ordered, asked });
            if asked {
                self.void_unproven(i, StopReason::Draining);
            }
        }
        let leased = self.state.tables.workers[&i].told.leased;
        if let Some(reachable) = f.reachable.filter(|r| *r != self.state.tables.workers[&i].reachable) {
            self.emit(Event::WorkerReachable { worker: i, reachable });
            // A worker with a lease stays with the gateway that knows its lease until that has lapsed.
            if !reachable && !leased {
                self.try_another_gateway(i);
            }
        }
        if f.silent && leased {
            self.detach_copies(i);
        }
        if f.lapsed {
            self.lease_lapsed(i);
        }
    }

    /// The lease of a worker has lapsed: it runs nothing. Perhaps its gateway alone can't reach it.
    fn lease_lapsed(&mut self, worker: WorkerIndex) {
        let w = &self.state.tables.workers[&worker];
        let (name, leaving) = (w.told.name.clone(), w.leaving);
        if leaving && self.tasks_on(worker).is_empty() {
            self.emit(Event::WorkerGone { worker, name });
        } else {
            self.try_another_gateway(worker);
        }
    }

    /// A life of a worker is over for good, and all that ran in it.
    fn worker_is_gone(&mut self, worker: WorkerIndex) {
        for t in self.tasks_on(worker) {
            self.attempt_over(t, TaskEvent::Lost);
        }
        let name = self.state.worker_name(worker);
        self.emit(Event::WorkerGone { worker, name });
    }

    /// A checkpoint of a live attempt.
    pub(crate) fn checkpoint(&mut self, worker: WorkerIndex, a: AttemptId, checkpoint: &str) {
        if !checkpoint.is_empty() && self.live(worker, a).is_some() {
            self.emit(Event::CheckpointSeen { task: a.task, checkpoint: checkpoint.to_owned() });
        }
    }

    /// Voids what is on its way to a worker.
    fn void_unproven(&mut self, worker: WorkerIndex, reason: StopReason) {
        for t in self.tasks_on(worker) {
            if self.state.tables.attempts.get(&t).is_some_and(|a| a.started.is_none()) {
                self.stop(t, reason);
            }
        }
    }

    /// A drain, or its end.
    pub(crate) fn drain(&mut self, d: &DrainWorker) -> CallResult<WorkerDrained> {
        let (i, w) = self.state.worker(&d.name).ok_or_else(|| call_error::not_found("worker", &d.name))?;
        // Its own kind of id, so that it can't be taken for an evacuation's.
        if let Some(order_id) = d.order_id.as_ref().map(|o| format!("drain/{o}")) {
            if let Some((_, name, on)) = self.state.tables.orders.iter().find(|o| o.0 == order_id) {
                ensure!((name, *on) == (&d.name, d.on), call_error::conflict("drain order", &order_id));
                return Ok(WorkerDrained { name: d.name.clone(), draining: w.draining(), attempts: self.tasks_on(i).len() as u32 });
            }
            self.emit(Event::DrainOrdered { order_id, name: d.name.clone(), on: d.on });
        }
        let Some(w) = self.state.tables.workers.get(&i) else { return Err(call_error::not_found("worker", &d.name)) };
        let asked = w.drain_asked && d.on;
        if (w.drain_ordered, w.drain_asked) != (d.on, asked) {
            self.emit(Event::WorkerDraining { worker: i, ordered: d.on, asked });
        }
        if d.on {
            self.void_unproven(i, StopReason::Draining);
            if let Some(leaves_in) = d.leaves_in_ms {
                self.move_away(i, leaves_in);
            }
        }
        if d.leaves && !self.state.tables.workers[&i].leaving {
            self.emit(Event::WorkerLeaving { worker: i });
        }
        Ok(WorkerDrained { name: d.name.clone(), draining: d.on, attempts: self.tasks_on(i).len() as u32 })
    }

    /// Stops what would not end before its worker does: it goes on elsewhere.
    fn move_away(&mut self, worker: WorkerIndex, leaves_in: Millis) {
        let now = self.now();
        for t in self.tasks_on(worker) {
            let Some(spec) = self.state.tables.jobs.get(&t.job).and_then(|j| j.spec.as_deref()) else { continue };
            let estimate = spec.steps.get(t.step as usize).map_or(0, |s| s.estimate_ms);
            let lasting = spec.run_until_cancelled;
            let started = self.state.tables.attempts.get(&t).and_then(|a| a.started.as_ref()).map_or(now, |s| s.0);
            let left = estimate.saturating_sub(now.saturating_sub(started));
            if lasting || left > leaves_in {
                self.stop(t, StopReason::Draining);
            }
        }
    }

    /// Forgets a worker.
    pub(crate) fn remove(&mut self, r: &RemoveWorker) -> CallResult<WorkerRemoved> {
        let (i, _) = self.state.worker(&r.name).ok_or_else(|| call_error::not_found("worker", &r.name))?;
        let tasks = self.tasks_on(i);
        let busy = format!("{} attempts are on it: drain it and wait, or declare it lost", tasks.len());
        ensure!(tasks.is_empty() || r.declare_lost, call_error::not_allowed(&r.name, busy));
        for &t in &tasks {
            self.attempt_over(t, TaskEvent::Lost);
        }
        self.emit(Event::WorkerGone { worker: i, name: r.name.clone() });
        Ok(WorkerRemoved { name: r.name.clone(), lost_attempts: tasks.len() as u32 })
    }

    /// A zone evacuation, or its end. What runs until cancelled moves; what ends by itself may end.
    pub(crate) fn evacuate(&mut self, e: EvacuateZone) -> CallResult<ZoneEvacuated> {
        ensure!(
            !e.zone.is_empty() && !e.order_id.is_empty(),
            call_error::invalid(vec![Fault::new("order_id", "zone and order_id want a value")])
        );
        let t = &self.state.tables;
        let known = self.state.effective.zone(&e.zone).is_some()
            || t.workers.values().any(|w| w.told.zone == e.zone)
            || t.gateways.values().any(|g| g.zone == e.zone)
            || t.evacuated.contains(&e.zone);
        if !known {
            return Err(call_error::not_found("zone", &e.zone));
        }
        let in_zone = |l: &Ledger| -> Vec<TaskId> {
            let s = &l.state;
            let here = s.tables.workers.iter().filter(|(_, w)| w.told.zone == e.zone).map(|(i, _)| *i);
            here.flat_map(|i| s.on_worker.get(&i).into_iter().flatten().copied()).collect()
        };
        if let Some((_, zone, on)) = self.state.tables.orders.iter().find(|o| o.0 == e.order_id) {
            ensure!((zone, *on) == (&e.zone, e.on), call_error::conflict("evacuation order", &e.order_id));
            let on = self.state.tables.evacuated.contains(&e.zone);
            return Ok(ZoneEvacuated { zone: e.zone.clone(), on, already: true, attempts: in_zone(self).len() as u32 });
        }
        let at = self.now();
        self.emit(Event::ZoneEvacuated { zone: e.zone.clone(), on: e.on, order_id: e.order_id.clone(), at });
        if e.on {
            for t in in_zone(self) {
                let lasting = self.state.tables.jobs.get(&t.job).and_then(|j| j.spec.as_ref()).is_some_and(|s| s.run_until_cancelled);
                if lasting || self.state.tables.attempts.get(&t).is_some_and(|a| a.started.is_none()) {
                    self.stop(t, StopReason::Evacuated);
                }
            }
        }
        Ok(ZoneEvacuated { zone: e.zone.clone(), on: e.on, already: false, attempts: in_zone(self).len() as u32 })
    }

    /// A worker's gateway gets no answer from it. Perhaps it is the gateway that is cut off: the next one takes the worker over
    /// and finds out, those of the worker's zone first, and so on round all of them.
    fn try_another_gateway(&mut self, worker: WorkerIndex) {
        let s = &self.state.tables;
        let Some(w) = s.workers.get(&worker) else { return };
        let mut ring: Vec<(bool, &Name)> = s.gateways.iter().filter(|(_, g)| g.alive).map(|(n, g)| (g.zone != w.told.zone, n)).collect();
        ring.sort_unstable();
        let place = ring.iter().position(|(_, n)| w.gateway.as_ref() == Some(*n));
        let next = place.map_or(0, |at| (at + 1) % ring.len());
        let Some(name) = ring.get(next).map(|(_, n)| (*n).clone()) else { return };
        if w.gateway.as_ref() != Some(&name) {
            self.emit(Event::WorkerShared { worker, gateway: Some(name) });
        }
    }

    /// A gateway attached.
    pub(crate) fn gateway_attached(&mut self, name: Name, record: GatewayRecord) {
        let known = self.state.tables.gateways.get(&name);
        if known == Some(&record) {
            return;
        }
        let restarted = known.is_some_and(|k| k.instance != record.instance);
        self.emit(Event::GatewayAttached { name: name.clone(), record });
        if restarted {
            self.assign_anew(&name);
        }
        self.share_workers();
    }

    /// A gateway's process was replaced: what the former one held, the new one holds under assignments of its own.
    fn assign_anew(&mut self, gateway: &Name) {
        let of = |w: &WorkerRecord| w.gateway.as_ref() == Some(gateway);
        let held: Vec<WorkerIndex> = self.state.tables.workers.iter().filter(|(_, w)| of(w)).map(|(i, _)| *i).collect();
        for worker in held {
            self.emit(Event::WorkerShared { worker, gateway: Some(gateway.clone()) });
        }
    }

    /// Shares the workers among the live gateways: each worker stays where it is while that is fair, prefers a gateway of
    /// its zone, and moves when its gateway is gone or holds more than its part.
    pub(crate) fn share_workers(&mut self) {
        let s = &self.state.tables;
        let live: Vec<(&Name, &GatewayRecord)> = s.gateways.iter().filter(|(_, g)| g.alive).collect();
        let mut by_zone: BTreeMap<&str, Vec<(WorkerIndex, &WorkerRecord)>> = BTreeMap::new();
        for (i, w) in &s.workers {
            by_zone.entry(&w.told.zone).or_default().push((*i, w));
        }
        let mut load: BTreeMap<&Name, usize> = live.iter().map(|(n, _)| (*n, 0)).collect();
        let mut moves = Vec::new();
        for (zone, workers) in by_zone {
            let near: Vec<&Name> = live.iter().filter(|(_, g)| g.zone == zone).map(|(n, _)| *n).collect();
            let pool: Vec<&Name> = if near.is_empty() { live.iter().map(|(n, _)| *n).collect() } else { near };
            if pool.is_empty() {
                moves.extend(workers.iter().filter(|(_, w)| w.gateway.is_some()).map(|(i, _)| (*i, None)));
                continue;
            }
            let part = workers.len().div_ceil(pool.len());
            let mut held: BTreeMap<&Name, usize> = BTreeMap::new();
            let mut homeless = Vec::new();
            for (i, w) in workers {
                match w.gateway.as_ref().filter(|g| pool.contains(g)) {
                    Some(g) if held.get(g).copied().unwrap_or(0) < part => {
                        *held.entry(g).or_default() += 1;
                        *load.entry(g).or_default() += 1;
                    }
                    _ => homeless.push(i),
                }
            }
            for i in homeless {
                let Some(&g) = pool.iter().min_by_key(|g| (load.get(*g).copied().unwrap_or(0), **g)) else { break };
                *load.entry(g).or_default() += 1;
                moves.push((i, Some(g.clone())));
            }
        }
        for (worker, gateway) in moves {
            self.emit(Event::WorkerShared { worker, gateway });
        }
    }
}

/// What is wrong with what a worker told of itself.
fn worker_faults(w: &RegisterWorker) -> Vec<Fault> {
    let mut v = Vec::new();
    for (path, s) in [("name", &w.name), ("boot_id", &w.boot_id), ("service", &w.service), ("kind", &w.kind), ("zone", &w.zone)] {
        if s.is_empty() || s.len() > 120 || s.contains(char::is_whitespace) || s.contains('/') {
            v.push(Fault::new(path, "wants 1 to 120 characters without blanks and slashes"));
        }
    }
    if w.address.parse::<std::net::SocketAddr>().is_err() {
        v.push(Fault::new("address", "wants an IP number and a port"));
    }
    if w.cpu_millis == 0 || w.memory_mb == 0 {
        v.push(Fault::new("cpu_millis", "wants CPU and memory above 0"));
    }
    v
}

impl ClusterState {
    /// How many tasks of a step are out at a worker, those being stopped included.
    pub(crate) fn tasks_of_step_on(&self, worker: WorkerIndex, step: StepId) -> u32 {
        self.on_worker.get(&worker).map_or(0, |set| set.range(step.tasks()).count() as u32)
    }

    /// Whether something runs on a worker that the log doesn't count on: it gets nothing new before that has ended.
    pub fn has_orphans(&self, worker: WorkerIndex) -> bool {
        let from = (worker, *AttemptId::of_job(0).start());
        self.tables.orphans.range(from..).next().is_some_and(|o| o.0 == worker)
    }

    /// Whether anything may be sent to a worker now; `held` says whether a live gateway holds it.
    pub fn is_open(&self, index: WorkerIndex, worker: &WorkerRecord, held: bool) -> bool {
        let evacuated = self.tables.evacuated.contains(&worker.told.zone);
        held && worker.reachable && !worker.draining() && !evacuated && !self.has_orphans(index)
    }

    /// Whether a live gateway holds a worker.
    fn is_held(&self, worker: &WorkerRecord) -> bool {
        worker.gateway.as_ref().is_some_and(|name| self.tables.gateways.get(name).is_some_and(|gateway| gateway.alive))
    }

    /// Whether a worker may get a task of that queue, service and kinds now, its room, trust and caps aside.
    pub fn worker_allows(
        &self,
        index: WorkerIndex,
        worker: &WorkerRecord,
        queue: &str,
        service: &str,
        kinds: &[Name],
        labels: &[Name],
    ) -> bool {
        let settings = self.placement_queue_settings(&worker.told.zone, queue, service);
        self.is_open(index, worker, self.is_held(worker)) && settings.is_some_and(|queue| worker.takes(&queue, service, kinds, labels))
    }
}
