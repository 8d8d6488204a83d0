use crate::prelude::*;

/// One planned group of starts: (task, worker), and whether all or none.
pub type PlannedStarts = (Vec<(TaskId, WorkerIndex)>, bool);

/// What one round of placement came to.
#[derive(Clone, Debug, Default)]
pub struct PlannedRound {
    /// The starts.
    pub starts: Vec<PlannedStarts>,
    /// Attempts that are to make room for urgent work.
    pub victims: Vec<TaskId>,
    /// Steps with tasks that wait for room near their data.
    pub held: BTreeSet<StepId>,
}

/// A group of alike tasks with its steps, the step due first in front.
type GroupSteps<'a> = (&'a ReadyGroup, Vec<ReadyStep>);

/// Works out which waiting tasks start where, from the committed state as it is: nothing is changed here.
///
/// Order: urgency, then the queue that uses least for its share, then the time a job was due. A task that fits nowhere
/// speaks for its whole group, so a mass of impossible jobs costs one look a round.
pub struct StartPlanner<'a> {
    state: &'a ClusterState,
    now: Millis,
    most: usize,
    /// Room given in this round, by worker.
    given: BTreeMap<WorkerIndex, Room>,
    /// Use given in this round, by (zone, queue).
    used: BTreeMap<(Name, Name), Use>,
    /// Room given in this round, by zone.
    zones: BTreeMap<Name, Room>,
    /// Tasks of steps with a limit given in this round, by worker.
    spread: BTreeMap<(WorkerIndex, StepId), u32>,
    /// Use of each queue over all zones, as a ratio to the fleet and its share.
    weights: BTreeMap<Name, f64>,
    fleet: Room,
    plans: Vec<PlannedStarts>,
    count: usize,
    preemption: Preemption<'a>,
    waits: &'a RackWaits,
    held: BTreeSet<StepId>,
    /// Racks that urgent tasks wait for: lesser work leaves them alone.
    awaited_racks: BTreeSet<&'a Name>,
}

/// A worker whose tasks take longer than this against their like counts as slow.
const SLOW_RATIO: f64 = 1.6;
/// Urgent tasks go first to workers whose tasks take no longer than this against their like.
const FAST_RATIO: f64 = 1.08;
/// Room of a worker, in millionths, that less urgent work leaves free while there is another.
const SPARED_PPM: u64 = 150_000;

impl<'a> StartPlanner<'a> {
    /// A planner over a state.
    pub fn new(state: &'a ClusterState, now: Millis, most: usize, waits: &'a RackWaits) -> Self {
        let fleet = state.zone_room.values().fold(Room::new(0, 0), |s, z| s.add(z.0));
        StartPlanner {
            state,
            now,
            most,
            given: BTreeMap::new(),
            used: BTreeMap::new(),
            zones: BTreeMap::new(),
            spread: BTreeMap::new(),
            weights: BTreeMap::new(),
            fleet,
            plans: Vec::new(),
            count: 0,
            preemption: Preemption::new(state, now),
            waits,
            held: BTreeSet::new(),
            awaited_racks: BTreeSet::new(),
        }
    }

    /// Plans one round.
    pub fn plan(mut self) -> PlannedRound {
        let mut levels: BTreeMap<Reverse<u8>, Vec<GroupSteps<'a>>> = BTreeMap::new();
        for (g, steps) in self.state.ready.groups() {
            let u = self.state.urgency(&g.queue, g.asked);
            levels.entry(Reverse(u)).or_default().push((g, steps.iter().take(self.most).copied().collect()));
        }
        for (Reverse(urgency), groups) in levels {
            self.plan_level(urgency, groups);
            if self.count >= self.most {
                break;
            }
        }
        PlannedRound { starts: self.plans, victims: self.preemption.into_victims(), held: self.held }
    }

    /// Plans all groups of one urgency, the queue that lags most behind its share first.
    fn plan_level(&mut self, urgency: u8, groups: Vec<GroupSteps<'a>>) {
        // Each group with its steps still to do, the next one last.
        let mut left = groups;
        for (_, steps) in &mut left {
            steps.reverse();
        }
        while self.count < self.most {
            let rank = |g: &ReadyGroup, s: &[ReadyStep], p: &Self| (p.weights.get(&g.queue).copied(), s.last().map(|s| s.0));
            for (g, _) in &left {
                if !self.weights.contains_key(&g.queue) {
                    let w = self.weight(&g.queue);
                    self.weights.insert(g.queue.clone(), w);
                }
            }
            let best = (0..left.len()).min_by(|&a, &b| {
                let (x, y) = (rank(left[a].0, &left[a].1, self), rank(left[b].0, &left[b].1, self));
                x.0.partial_cmp(&y.0).unwrap_or(Ordering::Equal).then(x.1.cmp(&y.1))
            });
            let Some(i) = best else { return };
            let Some((_, step)) = left[i].1.pop() else {
                left.swap_remove(i);
                continue;
            };
            if !self.plan_step(urgency, left[i].0, step) {
                left.swap_remove(i);
                continue;
            }
            self.weights.remove(&left[i].0.queue);
        }
    }

    /// How much a queue uses for its share: the larger of CPU and memory, as a ratio to the fleet.
    fn weight(&self, queue: &str) -> f64 {
        let zones: Vec<&Name> = self.state.zone_room.keys().collect();
        let mut used = Room::new(0, 0);
        let mut share = 0.0f64;
        for z in zones {
            let key = (z.clone(), queue.to_owned());
            for u in [self.state.queue_use.get(&key), self.used.get(&key)].into_iter().flatten() {
                used = used.add(u.1);
            }
            if let Some(q) = self.state.placement_queue_settings(z, queue) {
                share = share.max(q.settings.share);
            }
        }
        let (cpu, memory) = used.shares_ppm(self.fleet);
        cpu.max(memory) as f64 / share.max(f64::MIN_POSITIVE)
    }

    /// Plans the waiting tasks of one step; false when its group fits nowhere now.
    fn plan_step(&mut self, urgency: u8, g: &'a ReadyGroup, id: StepId) -> bool {
        let Some(j) = self.state.tables.jobs.get(&id.job) else { return true };
        let (Some(spec), Some(s)) = (j.spec.as_deref(), j.step(id)) else { return true };
        let allowed = self.allowed(g);
        let placement = StepPlacement { urgency, group: g, id, spec, step: s, allowed: &allowed };
        if g.gang > 0 {
            let members: Vec<u32> = s.waiting().collect();
            let Some(places) = self.gang_places(&placement, &members) else { return false };
            self.count += members.len();
            self.plans.push((members.iter().map(|m| id.task(*m)).zip(places).collect(), true));
            return true;
        }
        let mut starts = Vec::new();
        let mut fits = true;
        let rack = g.near_rack.as_ref().filter(|_| self.may_hold(&placement));
        for index in s.waiting().take(self.most - self.count) {
            // One that failed somewhere has lost its time already, and should avoid a worker more than a way.
            if let Some(rack) = rack.filter(|_| s.tasks[index as usize].avoid.is_none()) {
                match self.places(&placement, &[index], &|w| w.told.rack == *rack && is_sound(w)) {
                    Some(p) => starts.extend(p.into_iter().map(|w| (id.task(index), w))),
                    None => self.hold(&placement, rack),
                }
                continue;
            }
            match self.places(&placement, &[index], &|_| true) {
                Some(p) => starts.extend(p.into_iter().map(|w| (id.task(index), w))),
                None => {
                    self.preempt(&placement, s.waiting().skip_while(|i| *i != index).count());
                    // A task that shuns the worker it failed on says nothing of its group.
                    fits = s.tasks[index as usize].avoid.is_some();
                    break;
                }
            }
        }
        if !starts.is_empty() {
            self.count += starts.len();
            self.plans.push((starts, false));
        }
        fits
    }

    /// Whether urgent tasks may wait a little for room near their data: elsewhere they would take far longer.
    fn may_hold(&self, p: &StepPlacement<'_>) -> bool {
        let rules = &self.state.tables.rules;
        let estimate_ms = p.spec.steps.get(usize::from(p.id.step)).map_or(0, |s| s.estimate_ms);
        let known = p.allowed.values().any(|w| Some(&w.told.rack) == p.group.near_rack.as_ref());
        known && p.urgency >= rules.urgent_from && self.waits.may_wait(p.id, self.now, estimate_ms, rules.hold_interval_ms)
    }

    /// Leaves a task of a step waiting, its rack to urgent work, and lesser work there makes room as far as that goes.
    fn hold(&mut self, p: &StepPlacement<'_>, rack: &'a Name) {
        self.held.insert(p.id);
        self.awaited_racks.insert(rack);
        let sound = p.allowed.iter().filter(|(_, w)| w.told.rack == *rack && w.health.may_try(self.now, 0) && is_sound(w));
        let workers: BTreeMap<WorkerIndex, &WorkerRecord> = sound.map(|(i, w)| (*i, *w)).collect();
        self.preemption.make_room(p.group.room, &workers);
    }

    /// Makes room for urgent tasks that fit nowhere, as far as that goes.
    fn preempt(&mut self, p: &StepPlacement<'_>, waiting: usize) {
        if p.urgency < self.state.tables.rules.urgent_from {
            return;
        }
        let sound = p.allowed.iter().filter(|(_, w)| w.health.may_try(self.now, 0) && w.pace.ratio <= SLOW_RATIO);
        let workers: BTreeMap<WorkerIndex, &WorkerRecord> = sound.map(|(i, w)| (*i, *w)).collect();
        for _ in 0..waiting {
            if !self.preemption.make_room(p.group.room, &workers) {
                return;
            }
        }
    }

    /// Workers that a group may use, room and trust aside.
    fn allowed(&self, g: &ReadyGroup) -> BTreeMap<WorkerIndex, &'a WorkerRecord> {
        let s = self.state;
        let may = |w: &WorkerRecord| s.worker_allows(w, &g.queue, &g.service, &g.kinds, &g.labels);
        s.tables.workers.iter().filter(|(i, w)| may(w) && !s.has_orphans(**i)).map(|(i, w)| (*i, w)).collect()
    }

    /// Workers for a whole gang: within one rack where that is faster and possible.
    fn gang_places(&mut self, p: &StepPlacement<'_>, members: &[u32]) -> Option<Vec<WorkerIndex>> {
        if p.group.same_rack {
            let racks: BTreeSet<&Name> = p.allowed.values().map(|w| &w.told.rack).collect();
            for rack in racks {
                let found = self.places(p, members, &|w| w.told.rack == *rack);
                if found.is_some() {
                    return found;
                }
            }
        }
        self.places(p, members, &|_| true)
    }

    /// Workers for all of `members`, or none; what they take is counted as given.
    fn places(&mut self, p: &StepPlacement<'_>, members: &[u32], within: &dyn Fn(&WorkerRecord) -> bool) -> Option<Vec<WorkerIndex>> {
        let g = p.group;
        let mut found: Vec<WorkerIndex> = Vec::with_capacity(members.len());
        let zones = self.zone_allowance(p.urgency, g);
        let mut taken: BTreeMap<Name, u64> = BTreeMap::new();
        for &m in members {
            let avoid = p.step.tasks[m as usize].avoid;
            let Some(w) = self.best_worker(p, avoid, &zones, &taken, within) else {
                self.give_back(p, &found);
                return None;
            };
            let zone = self.state.tables.workers[&w].told.zone.clone();
            *taken.entry(zone.clone()).or_default() += 1;
            let r = self.given.entry(w).or_default();
            *r = r.add(g.room);
            if g.spread.is_some() {
                *self.spread.entry((w, p.id)).or_default() += 1;
            }
            let z = self.zones.entry(zone.clone()).or_default();
            *z = z.add(g.room);
            let u = self.used.entry((zone, g.queue.clone())).or_default();
            *u = (u.0 + 1, u.1.add(g.room));
            found.push(w);
        }
        Some(found)
    }

    /// The best worker for one task: near its data before far, sound before slow, as the bands rank them within each.
    fn best_worker(
        &self,
        p: &StepPlacement<'_>,
        avoid: Option<WorkerIndex>,
        zones: &BTreeMap<Name, u64>,
        taken: &BTreeMap<Name, u64>,
        within: &dyn Fn(&WorkerRecord) -> bool,
    ) -> Option<WorkerIndex> {
        let g = p.group;
        let urgent = p.urgency >= self.state.tables.rules.urgent_from;
        let base = self.state.task_to_place(p.spec, p.id.step, 0);
        let fits = |w: WorkerIndex, r: &WorkerRecord| {
            let live = self.state.on_worker.get(&w).map_or(0, BTreeSet::len) + usize::from(self.given.contains_key(&w));
            let in_zone = taken.get(&r.told.zone).copied().unwrap_or(0) < zones.get(&r.told.zone).copied().unwrap_or(0);
            let free = r.room().sub(r.used);
            let left_alone = !urgent && self.awaited_racks.contains(&r.told.rack);
            in_zone
                && !left_alone
                && r.health.may_try(self.now, live)
                && g.room.add(self.given.get(&w).copied().unwrap_or_default()).fits(free)
                && g.spread.is_none_or(|(most, id)| self.of_step(w, id) < most)
                && within(r)
        };
        let able: BTreeMap<WorkerIndex, &WorkerRecord> = p.allowed.iter().filter(|(i, w)| fits(**i, w)).map(|(i, w)| (*i, *w)).collect();
        if able.is_empty() {
            return None;
        }
        let near = |w: &WorkerRecord| g.near_rack.as_ref().is_none_or(|r| *r == w.told.rack);
        // Urgent work takes the fast ones; the rest leaves some room on each worker for it.
        let spares = |w: &WorkerRecord| {
            let free = w.room().sub(w.used).sub(g.room);
            let (cpu, memory) = free.shares_ppm(w.room());
            cpu.min(memory) >= SPARED_PPM
        };
        let fast = |w: &WorkerRecord| if urgent { w.pace.ratio <= FAST_RATIO } else { spares(w) };
        let tiers: [&dyn Fn(&WorkerRecord) -> bool; 5] =
            [&|w| near(w) && fast(w) && is_sound(w), &|w| near(w) && is_sound(w), &|w| fast(w) && is_sound(w), &is_sound, &|_| true];
        let pick = |tier: &dyn Fn(&WorkerRecord) -> bool, avoid: Option<WorkerIndex>| {
            self.state.bands.assign(self.now, &base, |w| Some(w) != avoid && able.get(&w).is_some_and(|r| tier(r)))
        };
        let first = tiers.iter().find_map(|t| pick(*t, avoid));
        first.or_else(|| avoid.and_then(|_| pick(&|_| true, None)))
    }

    /// Tasks of a step on a worker, those given in this round included.
    fn of_step(&self, worker: WorkerIndex, id: StepId) -> u32 {
        self.state.tasks_of_step_on(worker, id) + self.spread.get(&(worker, id)).copied().unwrap_or(0)
    }

    /// Takes back what a gang was given that finds no whole place.
    fn give_back(&mut self, p: &StepPlacement<'_>, found: &[WorkerIndex]) {
        let g = p.group;
        for w in found {
            let zone = self.state.tables.workers[w].told.zone.clone();
            if let Some(r) = self.given.get_mut(w) {
                *r = r.sub(g.room);
                if *r == Room::default() {
                    self.given.remove(w);
                }
            }
            if let Some(n) = self.spread.get_mut(&(*w, p.id)) {
                *n -= 1;
            }
            if let Some(z) = self.zones.get_mut(&zone) {
                *z = z.sub(g.room);
            }
            if let Some(u) = self.used.get_mut(&(zone, g.queue.clone())) {
                *u = (u.0 - 1, u.1.sub(g.room));
            }
        }
    }

    /// How many more tasks of a group each zone may take: caps of the queue, and the reserve for urgent work.
    fn zone_allowance(&self, urgency: u8, g: &ReadyGroup) -> BTreeMap<Name, u64> {
        let mut v = BTreeMap::new();
        let ratio = |room: Room, r: f64| Room::new((room.cpu_millis as f64 * r) as u64, (room.memory_mb as f64 * r) as u64);
        let times = |free: Room| {
            let by = |free: u64, one: u64| free.checked_div(one).unwrap_or(u64::MAX);
            by(free.cpu_millis, g.room.cpu_millis).min(by(free.memory_mb, g.room.memory_mb))
        };
        for (zone, (room, used)) in &self.state.zone_room {
            let Some(q) = self.state.placement_queue_settings(zone, &g.queue) else { continue };
            let key = (zone.clone(), g.queue.clone());
            let a = self.state.queue_use.get(&key).copied().unwrap_or_default();
            let b = self.used.get(&key).copied().unwrap_or_default();
            let (tasks, mine) = (a.0 + b.0, a.1.add(b.1));
            let mut n = u64::MAX;
            if q.settings.cap_tasks > 0 {
                n = n.min(q.settings.cap_tasks.saturating_sub(tasks));
            }
            let cap = Room::new(
                (room.cpu_millis as f64 * q.settings.cap_cpu_share) as u64,
                (room.memory_mb as f64 * q.settings.cap_memory_share) as u64,
            );
            n = n.min(times(cap.sub(mine)));
            if urgency < self.state.tables.rules.urgent_from {
                let reserve = self
                    .state
                    .effective
                    .zone(zone)
                    .map_or(QueueSettings::default().urgent_reserve, |z| z.inherited.settings.urgent_reserve);
                let all = used.add(self.zones.get(zone).copied().unwrap_or_default());
                n = n.min(times(ratio(*room, 1.0 - reserve).sub(all)));
            }
            v.insert(zone.clone(), n);
        }
        v
    }
}

/// Whether a worker is neither slow nor doubted.
fn is_sound(w: &WorkerRecord) -> bool {
    w.pace.ratio <= SLOW_RATIO && !w.health.is_doubted()
}

/// A step whose tasks are to be placed, and what limits that.
struct StepPlacement<'p> {
    urgency: u8,
    group: &'p ReadyGroup,
    id: StepId,
    spec: &'p JobSpec,
    step: &'p Step,
    allowed: &'p BTreeMap<WorkerIndex, &'p WorkerRecord>,
}
