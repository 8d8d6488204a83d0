use crate::prelude::*;

/// A job that has nothing running presses after this many hold intervals: its next task may use workers that are set aside.
const PRESSING_HOLDS: u64 = 3;
/// Use of a service's workers, in millionths of the dimension that is used most, from which workers are set aside for gangs.
const SCARCE_PPM: u64 = 550_000;

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
    /// Room set aside for gangs.
    pub reservations: BTreeMap<StepId, GangReservation>,
    /// What the round cost.
    pub looks: RoundLooks,
}

/// A group of alike tasks with its steps still to do, the next one last.
struct PendingGroup<'a> {
    group: &'a ReadyGroup,
    steps: Vec<ReadyStep>,
}

/// What decides which workers a task may use, room and trust aside: queue, service, kinds, labels.
type Eligibility<'a> = (&'a Name, &'a Name, &'a [Name], &'a [Name]);

/// Candidates for the tasks of one step, ranked when they are first asked for.
struct StepCandidates {
    /// Tasks that each zone may take.
    zones: BTreeMap<Name, u64>,
    /// In the rack of the step's data.
    near: Option<CandidateQueue>,
    /// Anywhere, and whether reserved workers are among them.
    anywhere: Option<(bool, CandidateQueue)>,
}

/// Works out which waiting tasks start where, from the committed state as it is: nothing is changed here.
///
/// Order: urgency, then the queue that uses least for its share, then the time a job was due. A task that fits nowhere
/// speaks for its whole group, so a mass of impossible jobs costs one look a round.
pub struct StartPlanner<'a> {
    state: &'a ClusterState,
    now: Millis,
    most: usize,
    policies: PlacementPolicies,
    memory: &'a PlannerMemory,
    book: RoundBook<'a>,
    eligible: BTreeMap<Eligibility<'a>, Rc<EligibleWorkers<'a>>>,
    /// Workers to which anything may be sent now, worked out when the first step is planned.
    open_workers: OnceCell<Rc<RackWorkers<'a>>>,
    wide_shapes: WideShapes,
    reserved: ReservedWorkers<'a>,
    preemption: Preemption<'a>,
    /// Use of each queue over all zones, as a ratio to the fleet and its share.
    weights: BTreeMap<Name, f64>,
    fleet: Room,
    /// Use of each service's workers, worked out when a gang waits.
    service_use: BTreeMap<Name, u64>,
    plans: Vec<PlannedStarts>,
    count: usize,
    held: BTreeSet<StepId>,
    /// Racks that urgent tasks wait for: lesser work leaves them alone.
    awaited_racks: BTreeSet<&'a Name>,
}

impl<'a> StartPlanner<'a> {
    /// A planner over a state, for `most` starts.
    pub fn new(state: &'a ClusterState, now: Millis, most: usize, policies: PlacementPolicies, memory: &'a PlannerMemory) -> Self {
        let fleet = state.zone_room.values().fold(Room::default(), |sum, zone| sum.add(zone.0));
        StartPlanner {
            state,
            now,
            most,
            policies,
            memory,
            book: RoundBook::new(state),
            eligible: BTreeMap::new(),
            open_workers: OnceCell::new(),
            wide_shapes: WideShapes::new(state),
            reserved: ReservedWorkers::new(state, now, &memory.reservations),
            preemption: Preemption::new(state, now),
            weights: BTreeMap::new(),
            fleet,
            service_use: BTreeMap::new(),
            plans: Vec::new(),
            count: 0,
            held: BTreeSet::new(),
            awaited_racks: BTreeSet::new(),
        }
    }

    /// Plans one round.
    pub fn plan(mut self) -> PlannedRound {
        let mut levels: BTreeMap<Reverse<u8>, Vec<PendingGroup<'a>>> = BTreeMap::new();
        for (group, steps) in self.state.ready.groups() {
            let urgency = self.state.urgency(&group.queue, group.asked);
            let mut steps: Vec<ReadyStep> = steps.iter().take(self.most).copied().collect();
            steps.reverse();
            levels.entry(Reverse(urgency)).or_default().push(PendingGroup { group, steps });
        }
        for (Reverse(urgency), groups) in levels {
            self.plan_level(urgency, groups);
            if self.count >= self.most {
                break;
            }
        }
        PlannedRound {
            starts: self.plans,
            victims: self.preemption.into_victims(),
            held: self.held,
            reservations: self.reserved.into_made(),
            looks: self.book.looks(),
        }
    }

    /// Plans all groups of one urgency, the queue that lags most behind its share first.
    fn plan_level(&mut self, urgency: u8, mut left: Vec<PendingGroup<'a>>) {
        while self.count < self.most {
            let Some(next) = self.next_group(&left) else { return };
            let Some(step) = left[next].steps.pop() else {
                left.swap_remove(next);
                continue;
            };
            if !self.plan_step(urgency, &left[next], step) {
                left.swap_remove(next);
                continue;
            }
            self.weights.remove(&left[next].group.queue);
        }
    }

    /// The group whose turn it is.
    fn next_group(&mut self, left: &[PendingGroup<'a>]) -> Option<usize> {
        self.book.note(LookPurpose::Ordering, left.len() as u64);
        for pending in left.iter().filter(|_| self.policies.fair_shares) {
            let queue = &pending.group.queue;
            if !self.weights.contains_key(queue) {
                let weight = self.weight(queue);
                self.weights.insert(queue.clone(), weight);
            }
        }
        let weight = |index: usize| self.weights.get(&left[index].group.queue).copied().unwrap_or(0.0);
        let due = |index: usize| left[index].steps.last().map(|step| step.0);
        (0..left.len()).min_by(|&a, &b| weight(a).total_cmp(&weight(b)).then(due(a).cmp(&due(b))))
    }

    /// How much a queue uses for its share: the dimension of which it takes most, as a ratio to the fleet.
    fn weight(&self, queue: &Name) -> f64 {
        let mut used = Room::default();
        let mut share = 0.0f64;
        for zone in self.state.zone_room.keys() {
            used = used.add(self.book.queue_use(zone, queue).1);
            if let Some(queue) = self.state.placement_queue_settings(zone, queue) {
                share = share.max(queue.settings.share);
            }
        }
        used.dominant_ppm(self.fleet) as f64 / share.max(f64::MIN_POSITIVE)
    }

    /// Plans the waiting tasks of one step; false when its group fits nowhere now.
    fn plan_step(&mut self, urgency: u8, pending: &PendingGroup<'a>, (due_at, id): ReadyStep) -> bool {
        let Some(job) = self.state.tables.jobs.get(&id.job) else { return true };
        let (Some(spec), Some(step)) = (job.spec.as_deref(), job.step(id)) else { return true };
        let rules = &self.state.tables.rules;
        let urgent = urgency >= rules.urgent_from;
        let waits_long = self.now >= due_at + PRESSING_HOLDS * rules.hold_interval_ms;
        let pressing = waits_long && pending.group.gang == 0 && (job.live() == 0 || spec.run_until_cancelled);
        let eligible = self.eligible(pending.group);
        let ranked = self.state.bands.ranked(self.now, &self.state.task_to_place(spec, id.step, 0));
        let placement = StepPlacement { urgency, urgent, pressing, group: pending.group, id, spec, step, eligible: &eligible, ranked };
        match pending.group.gang {
            0 => self.plan_tasks(&placement, pending.group),
            _ => self.plan_gang(&placement),
        }
    }

    /// Plans all members of a gang, or sets room aside for them.
    fn plan_gang(&mut self, placement: &StepPlacement<'_>) -> bool {
        let members: Vec<u32> = placement.step.waiting().collect();
        let Some(places) = self.gang_places(placement, &members) else {
            if self.policies.gang_reservation {
                self.reserve(placement);
            }
            return false;
        };
        self.reserved.release(placement.id);
        self.count += members.len();
        self.plans.push((members.iter().map(|member| placement.id.task(*member)).zip(places).collect(), true));
        true
    }

    /// Sets workers aside for a gang that fits nowhere.
    fn reserve(&mut self, placement: &StepPlacement<'_>) {
        if self.service_use_ppm(&placement.group.service) < SCARCE_PPM {
            return;
        }
        let expected_ms = placement.ranked.exit.saturating_sub(self.now);
        if !self.reserved.reserve(placement, &self.book, expected_ms) && self.policies.gang_claims {
            self.reserved.claim(placement, &self.book);
        }
    }

    /// Use of a service's workers in the dimension that is used most, in millionths.
    fn service_use_ppm(&mut self, service: &Name) -> u64 {
        let workers = &self.state.tables.workers;
        *self.service_use.entry(service.clone()).or_insert_with(|| {
            self.book.note(LookPurpose::Reservation, workers.len() as u64);
            let of_service = workers.values().filter(|worker| worker.told.service == *service);
            let (room, used) = of_service
                .fold((Room::default(), Room::default()), |(room, used), worker| (room.add(worker.room()), used.add(worker.used)));
            used.dominant_ppm(room)
        })
    }

    /// Plans the waiting tasks of a step one by one.
    fn plan_tasks(&mut self, placement: &StepPlacement<'_>, group: &'a ReadyGroup) -> bool {
        let (id, step) = (placement.id, placement.step);
        let mut candidates = self.candidates(placement);
        let mut starts = Vec::new();
        let mut fits = true;
        let rack = group.near_rack.as_ref().filter(|_| self.may_hold(placement));
        for index in step.waiting().take(self.most - self.count) {
            let avoid = step.tasks[index as usize].avoid;
            // One that failed somewhere has lost its time already, and should avoid a worker more than a way.
            if let Some(rack) = rack.filter(|_| avoid.is_none()) {
                match self.take_near(placement, rack, &mut candidates) {
                    Some(worker) => starts.push((id.task(index), worker)),
                    None => self.hold(placement, rack),
                }
                continue;
            }
            // One task is enough for a job that presses, unless it lasts.
            let pressing = placement.pressing && (starts.is_empty() || placement.spec.run_until_cancelled);
            match self.take_anywhere(&StepPlacement { pressing, ..*placement }, avoid, &mut candidates) {
                Some(worker) => starts.push((id.task(index), worker)),
                None => {
                    self.preempt(placement, step.waiting().skip_while(|i| *i != index).count());
                    // A task that shuns the worker it failed on says nothing of its group.
                    fits = avoid.is_some();
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

    fn candidates(&self, placement: &StepPlacement<'_>) -> StepCandidates {
        let zones = zone_allowance(self.state, &self.book, self.policies, placement.urgent, placement.group);
        StepCandidates { zones, near: None, anywhere: None }
    }

    /// A sound worker in the rack of the step's data for one more task, whose room is charged.
    fn take_near(&mut self, placement: &StepPlacement<'_>, rack: &Name, candidates: &mut StepCandidates) -> Option<WorkerIndex> {
        let mut queue = candidates.near.take().unwrap_or_else(|| {
            let sound = placement.eligible.in_rack(rack).iter().copied().filter(|(_, worker)| is_sound(worker));
            CandidateQueue::new(&self.choice(), placement, &candidates.zones, sound)
        });
        let worker = queue.take(placement, &candidates.zones);
        candidates.near = Some(queue);
        worker.inspect(|worker| self.charge(placement, *worker, candidates))
    }

    /// Any worker for one more task, whose room is charged.
    fn take_anywhere(
        &mut self,
        placement: &StepPlacement<'_>,
        avoid: Option<WorkerIndex>,
        candidates: &mut StepCandidates,
    ) -> Option<WorkerIndex> {
        let workers = || placement.eligible.all().iter().map(|(index, worker)| (*index, *worker));
        let worker = match avoid {
            Some(_) => self.choice().best(placement, avoid, &candidates.zones, workers()),
            None => {
                // Whoever presses may use reserved workers beside all others.
                let alike = |pressing: bool| pressing == placement.pressing || self.reserved.is_empty();
                let known = candidates.anywhere.take().filter(|(pressing, _)| alike(*pressing));
                let (_, mut queue) = known
                    .unwrap_or_else(|| (placement.pressing, CandidateQueue::new(&self.choice(), placement, &candidates.zones, workers())));
                let worker = queue.take(placement, &candidates.zones);
                candidates.anywhere = Some((placement.pressing, queue));
                worker
            }
        };
        worker.inspect(|worker| self.charge(placement, *worker, candidates))
    }

    /// Gives a worker's room to one task of a step.
    fn charge(&mut self, placement: &StepPlacement<'_>, worker: WorkerIndex, candidates: &mut StepCandidates) {
        let record = &self.state.tables.workers[&worker];
        if let Some(left) = candidates.zones.get_mut(&record.told.zone) {
            *left -= 1;
        }
        self.book.charge(worker, placement.group, placement.id);
        let choice = self.choice();
        let is_near = placement.group.near_rack.as_ref() == Some(&record.told.rack) && is_sound(record);
        if let Some(queue) = candidates.near.as_mut().filter(|_| is_near) {
            queue.renew(&choice, placement, &candidates.zones, worker);
        }
        if let Some((pressing, queue)) = &mut candidates.anywhere {
            queue.renew(&choice, &StepPlacement { pressing: *pressing, ..*placement }, &candidates.zones, worker);
        }
    }

    /// Whether urgent tasks may wait a little for room near their data: elsewhere they would take far longer.
    fn may_hold(&self, placement: &StepPlacement<'_>) -> bool {
        let rules = &self.state.tables.rules;
        let estimate_ms = placement.spec.steps.get(usize::from(placement.id.step)).map_or(0, |step| step.estimate_ms);
        let known = placement.group.near_rack.as_ref().is_some_and(|rack| !placement.eligible.in_rack(rack).is_empty());
        self.policies.rack_wait
            && known
            && placement.urgent
            && self.memory.rack_waits.may_wait(placement.id, self.now, estimate_ms, rules.hold_interval_ms)
    }

    /// Leaves a task of a step waiting, its rack to urgent work, and lesser work there makes room as far as that goes.
    fn hold(&mut self, placement: &StepPlacement<'_>, rack: &'a Name) {
        self.held.insert(placement.id);
        self.awaited_racks.insert(rack);
        if self.policies.preemption {
            let workers = self.trusted(placement, |w| w.told.rack == *rack && is_sound(w));
            self.preemption.make_room(placement.group.room, &workers, &self.book);
        }
    }

    /// Makes room for urgent tasks that fit nowhere, as far as that goes.
    fn preempt(&mut self, placement: &StepPlacement<'_>, waiting: usize) {
        if !placement.urgent || !self.policies.preemption {
            return;
        }
        let workers = self.trusted(placement, |w| w.pace.ratio <= SLOW_RATIO);
        for _ in 0..waiting {
            if !self.preemption.make_room(placement.group.room, &workers, &self.book) {
                return;
            }
        }
    }

    /// Workers of a step on which a task may be tried, room aside.
    fn trusted<'p>(
        &self,
        placement: &StepPlacement<'p>,
        within: impl Fn(&WorkerRecord) -> bool,
    ) -> BTreeMap<WorkerIndex, &'p WorkerRecord> {
        self.book.note(LookPurpose::Preemption, placement.eligible.all().len() as u64);
        let trusted = placement.eligible.all().iter().filter(|(_, w)| w.health.may_try(self.now, 0) && within(w));
        trusted.map(|(index, w)| (*index, *w)).collect()
    }

    /// Workers to which anything may be sent now, whatever it asks for.
    fn open_workers(&self) -> Rc<RackWorkers<'a>> {
        let known = self.open_workers.get_or_init(|| {
            let state = self.state;
            let alive: HashSet<&Name> = state.tables.gateways.iter().filter(|(_, gateway)| gateway.alive).map(|(name, _)| name).collect();
            let held = |worker: &WorkerRecord| worker.gateway.as_ref().is_some_and(|gateway| alive.contains(gateway));
            let open = |index: WorkerIndex, worker: &WorkerRecord| state.is_open(index, worker, held(worker));
            let workers = state.tables.workers.iter().filter(|(index, worker)| open(**index, worker));
            Rc::new(workers.map(|(index, worker)| (*index, worker)).collect())
        });
        known.clone()
    }

    /// Workers that a group may use, room and trust aside.
    fn eligible(&mut self, group: &'a ReadyGroup) -> Rc<EligibleWorkers<'a>> {
        let key = (&group.queue, &group.service, group.kinds.as_slice(), group.labels.as_slice());
        if let Some(known) = self.eligible.get(&key) {
            return known.clone();
        }
        let (state, book) = (self.state, &self.book);
        let queues: BTreeMap<&Name, Arc<EffectiveQueue>> =
            state.zone_room.keys().filter_map(|zone| Some((zone, state.placement_queue_settings(zone, &group.queue)?))).collect();
        let may = |worker: &WorkerRecord| {
            book.note(LookPurpose::Placement, 1);
            let queue = queues.get(&worker.told.zone);
            queue.is_some_and(|queue| worker.takes(queue, &group.service, &group.kinds, &group.labels))
        };
        let open = self.open_workers();
        let workers = open.iter().filter(|(_, worker)| may(worker)).copied();
        let found = Rc::new(EligibleWorkers::new(workers));
        self.eligible.insert(key, found.clone());
        found
    }

    /// Workers for a whole gang: within one rack where that is faster and possible.
    fn gang_places(&mut self, placement: &StepPlacement<'_>, members: &[u32]) -> Option<Vec<WorkerIndex>> {
        let wanted = members.len() as u64;
        let most: Vec<u64> = placement.eligible.racks().map(|rack| self.most_members(placement, rack)).collect();
        if most.iter().copied().fold(0, u64::saturating_add) < wanted {
            return None;
        }
        if placement.group.same_rack {
            for (rack, _) in placement.eligible.racks().zip(most).filter(|(_, most)| *most >= wanted) {
                let found = self.places(placement, members, rack);
                if found.is_some() {
                    return found;
                }
            }
        }
        let anywhere: RackWorkers<'_> = placement.eligible.all().iter().map(|(index, worker)| (*index, *worker)).collect();
        self.places(placement, members, &anywhere)
    }

    /// How many members of a gang some workers have room for at most.
    fn most_members(&self, placement: &StepPlacement<'_>, workers: &[(WorkerIndex, &WorkerRecord)]) -> u64 {
        let group = placement.group;
        let spread = group.spread.map_or(u64::MAX, |(most, _)| u64::from(most));
        let places = workers.iter().map(|(index, worker)| {
            self.book.note(LookPurpose::Placement, 1);
            self.book.free(*index, worker).count_of(group.room).min(spread)
        });
        places.fold(0, u64::saturating_add)
    }

    /// Workers among some for all members of a gang, or none; what they take is charged.
    fn places(
        &mut self,
        placement: &StepPlacement<'_>,
        members: &[u32],
        workers: &[(WorkerIndex, &WorkerRecord)],
    ) -> Option<Vec<WorkerIndex>> {
        let mut candidates = self.candidates(placement);
        let queue = CandidateQueue::new(&self.choice(), placement, &candidates.zones, workers.iter().copied());
        candidates.anywhere = Some((placement.pressing, queue));
        let mut found: Vec<WorkerIndex> = Vec::with_capacity(members.len());
        for &member in members {
            let avoid = placement.step.tasks[member as usize].avoid;
            let place = match avoid {
                Some(_) => {
                    let best = self.choice().best(placement, avoid, &candidates.zones, workers.iter().copied());
                    best.inspect(|worker| self.charge(placement, *worker, &mut candidates))
                }
                None => self.take_anywhere(placement, None, &mut candidates),
            };
            let Some(worker) = place else {
                for worker in found {
                    self.book.refund(worker, placement.group, placement.id);
                }
                return None;
            };
            found.push(worker);
        }
        Some(found)
    }

    fn choice(&self) -> WorkerChoice<'_, 'a> {
        WorkerChoice {
            state: self.state,
            now: self.now,
            policies: self.policies,
            book: &self.book,
            wide_shapes: &self.wide_shapes,
            reserved: &self.reserved,
            awaited_racks: &self.awaited_racks,
        }
    }
}
