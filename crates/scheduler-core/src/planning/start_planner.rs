use crate::prelude::*;

/// A job that has nothing running presses after this many hold intervals: its next task may use workers that are set aside.
const PRESSING_HOLDS: u64 = 3;
/// Looks of one round at most, but for those of the last step of each urgency: a leader that plans for longer is taken for lost.
const ROUND_LOOKS: u64 = 1 << 16;
/// What each step costs before any worker is looked at, in looks.
const STEP_LOOKS: u64 = 8;

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
    /// Whether it cost so much that it was cut short.
    pub cut: bool,
    /// Where rounds that were cut short go on.
    pub turns: RoundTurns,
}

/// A queue among those of its urgency.
struct QueueTurn<'a> {
    /// Its place behind those whose turn is still to come.
    place: usize,
    /// The last of its steps that this round got to.
    reached: Option<ReadyStep>,
    /// How much it uses for its share, as far as that is known.
    weight: Option<f64>,
    /// What waits in it.
    steps: WaitingSteps<'a>,
}

/// What decides which workers a task may use, room and trust aside: queue, service, kinds, labels.
type Eligibility<'a> = (&'a Name, &'a Name, &'a [Name], &'a [Name]);

/// Candidates for the tasks of one step, ranked when they are first asked for.
pub(crate) struct StepCandidates {
    /// Tasks that each zone may take.
    pub(crate) zones: BTreeMap<Name, u64>,
    /// In the rack of the step's data.
    pub(crate) near: Option<CandidateQueue>,
    /// Anywhere, and whether reserved workers are among them.
    pub(crate) anywhere: Option<(bool, CandidateQueue)>,
}

/// Works out which waiting tasks start where, from the committed state as it is: nothing is changed here.
///
/// Order: urgency, then the queue that uses least for its share, then the time a job was due. A task that fits nowhere
/// speaks for its whole group and for all that ask for as much. A round costs a bounded number of looks, whatever waits: one that
/// is cut short goes on in the next one, after a step of each lesser urgency.
pub struct StartPlanner<'a> {
    pub(crate) state: &'a ClusterState,
    pub(crate) now: Millis,
    most: usize,
    pub(crate) policies: PlacementPolicies,
    pub(crate) memory: &'a PlannerMemory,
    pub(crate) book: RoundBook<'a>,
    pub(crate) eligible: BTreeMap<Eligibility<'a>, Rc<EligibleWorkers<'a>>>,
    /// Workers to which anything may be sent now, worked out when the first step is planned.
    open_workers: OnceCell<Rc<RackWorkers<'a>>>,
    wide_shapes: WideShapes,
    pub(crate) reserved: ReservedWorkers<'a>,
    /// Worked out when the first urgent task fits nowhere.
    preemption: Option<Preemption<'a>>,
    pub(crate) refusals: Refusals,
    turns: RoundTurns,
    cut: bool,
    fleet: Room,
    /// Use of each service's workers, worked out when a gang waits.
    pub(crate) service_use: BTreeMap<Name, u64>,
    pub(crate) plans: Vec<PlannedStarts>,
    pub(crate) count: usize,
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
            preemption: None,
            refusals: Refusals::new(),
            turns: memory.turns.clone(),
            cut: false,
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
        let ready = &self.state.ready;
        let mut levels: BTreeMap<Reverse<u8>, Vec<QueueTurn<'a>>> = BTreeMap::new();
        for (queue, groups) in ready.queues() {
            let urgency = self.state.urgency(&queue.queue, queue.asked);
            let steps = WaitingSteps::new(ready, queue, groups, self.turns.reached(queue));
            let turn = QueueTurn { place: self.turns.place(queue), reached: None, weight: None, steps };
            levels.entry(Reverse(urgency)).or_default().push(turn);
        }
        let mut lesser_levels = levels.len();
        for (Reverse(urgency), queues) in levels {
            lesser_levels -= 1;
            let left = ROUND_LOOKS.saturating_sub(self.book.looks().total());
            let most = if lesser_levels == 0 { left } else { left / 2 };
            self.plan_level(urgency, queues, self.book.looks().total() + most);
            if self.count >= self.most {
                break;
            }
        }
        self.turns.keep(|queue| ready.has_queue(queue));
        PlannedRound {
            starts: self.plans,
            victims: self.preemption.map(Preemption::into_victims).unwrap_or_default(),
            held: self.held,
            reservations: self.reserved.into_made(self.cut),
            looks: self.book.looks(),
            cut: self.cut,
            turns: self.turns,
        }
    }

    /// Plans the steps of one urgency, the queue that lags most behind its share first, until the round has cost so many looks.
    fn plan_level(&mut self, urgency: u8, mut queues: Vec<QueueTurn<'a>>, until_looks: u64) {
        self.refusals.clear();
        while self.count < self.most {
            let Some(next) = self.next_queue(&mut queues) else {
                queues.iter().for_each(|turn| self.turns.forget(turn.steps.queue()));
                return;
            };
            let Some(step) = queues[next].steps.take() else { return };
            let queue = queues[next].steps.queue();
            queues[next].reached = Some(step.at);
            self.book.note(LookPurpose::Ordering, STEP_LOOKS);
            if self.plan_step(urgency, step) {
                queues[next].steps.planned(step);
                let same_queue = queues.iter_mut().filter(|turn| turn.steps.queue().queue == queue.queue);
                same_queue.for_each(|turn| turn.weight = None);
            }
            if self.book.looks().total() >= until_looks {
                self.cut_short(queues);
                return;
            }
        }
    }

    /// Leaves the steps of an urgency for the next round, which begins with the queues that had no turn in this one.
    fn cut_short(&mut self, queues: Vec<QueueTurn<'a>>) {
        self.cut = true;
        let mut had_turn: Vec<QueueTurn<'a>> = queues.into_iter().filter(|turn| turn.reached.is_some()).collect();
        had_turn.sort_by_key(|turn| turn.place);
        for mut turn in had_turn {
            let reached = turn.reached.filter(|_| turn.steps.peek().is_some());
            self.turns.had_turn(turn.steps.queue(), reached);
        }
    }

    /// The queue whose turn it is.
    fn next_queue(&mut self, queues: &mut [QueueTurn<'a>]) -> Option<usize> {
        let mut next: Option<(usize, f64, Millis, usize)> = None;
        for (index, turn) in queues.iter_mut().enumerate() {
            let Some((due_at, _)) = turn.steps.peek() else { continue };
            let weight = match self.policies.fair_shares {
                true => *turn.weight.get_or_insert_with(|| self.weight(&turn.steps.queue().queue)),
                false => 0.0,
            };
            let goes_first = next
                .is_none_or(|(place, least, due, _)| turn.place.cmp(&place).then(weight.total_cmp(&least)).then(due_at.cmp(&due)).is_lt());
            if goes_first {
                next = Some((turn.place, weight, due_at, index));
            }
        }
        next.map(|(.., index)| index)
    }

    /// How much a queue uses for its share: the dimension of which it takes most, as a ratio to the fleet.
    fn weight(&self, queue: &Name) -> f64 {
        let mut used = Room::default();
        let mut share = 0.0f64;
        for zone in self.state.zone_room.keys() {
            used = used.add(self.book.queue_use(zone, queue).1);
            if let Some(queue) = self.state.queue_settings_or_passed_down(zone, queue) {
                share = share.max(queue.settings.share);
            }
        }
        used.dominant_ppm(self.fleet) as f64 / share.max(f64::MIN_POSITIVE)
    }

    /// Plans the waiting tasks of one step; false when its group fits nowhere now.
    fn plan_step(&mut self, urgency: u8, WaitingStep { group, at: (due_at, id) }: WaitingStep<'a>) -> bool {
        let Some(job) = self.state.tables.jobs.get(&id.job) else { return true };
        let (Some(spec), Some(step)) = (job.spec.as_deref(), job.step(id)) else { return true };
        let rules = &self.state.tables.rules;
        let urgent = urgency >= rules.urgent_from;
        let waits_long = self.now >= due_at + PRESSING_HOLDS * rules.hold_interval_ms;
        let pressing = waits_long && group.gang == 0 && (job.live() == 0 || spec.run_until_cancelled);
        let eligible = self.eligible(group);
        let ranked = self.state.bands.ranked(self.now, &self.state.task_to_place(spec, id.step, 0));
        let placement = StepPlacement { urgency, urgent, pressing, group, id, spec, step, eligible: &eligible, ranked };
        match group.gang {
            0 => self.plan_tasks(&placement, group),
            _ => self.plan_gang(&placement),
        }
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
            match self.take_if_any(&StepPlacement { pressing, ..*placement }, avoid, &mut candidates) {
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

    /// Any worker for one more task, unless as much room was refused already.
    fn take_if_any(
        &mut self,
        placement: &StepPlacement<'_>,
        avoid: Option<WorkerIndex>,
        candidates: &mut StepCandidates,
    ) -> Option<WorkerIndex> {
        let kind = if placement.pressing { RefusalKind::PressingTask } else { RefusalKind::Task };
        if self.is_refused(placement, kind, 1) {
            return None;
        }
        let found = self.take_anywhere(placement, avoid, candidates);
        if found.is_none() && placement.group.spread.is_none() {
            self.refusals_of(placement, kind).refuse(placement.group.room, 1);
        }
        found
    }

    /// Whether so many places for tasks of a step can't be had, as far as one comparison tells.
    pub(crate) fn is_refused(&self, placement: &StepPlacement<'_>, kind: RefusalKind, places: u32) -> bool {
        let (room, eligible) = (placement.group.room, placement.eligible);
        let refused = self.refusals.get(&(eligible.number(), kind));
        !room.fits(eligible.widest()) || refused.is_some_and(|refused| refused.refuses(room, places))
    }

    /// What was refused of the workers that a step may use.
    pub(crate) fn refusals_of(&mut self, placement: &StepPlacement<'_>, kind: RefusalKind) -> &mut RefusedRooms {
        self.refusals.entry((placement.eligible.number(), kind)).or_default()
    }

    pub(crate) fn candidates(&self, placement: &StepPlacement<'_>) -> StepCandidates {
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
    pub(crate) fn take_anywhere(
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
    pub(crate) fn charge(&mut self, placement: &StepPlacement<'_>, worker: WorkerIndex, candidates: &mut StepCandidates) {
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
            let workers = placement.eligible.in_rack(rack).iter().copied();
            self.make_room(placement, workers, |worker| worker.told.rack == *rack && is_sound(worker));
        }
    }

    /// Makes room for urgent tasks that fit nowhere, as far as that goes.
    fn preempt(&mut self, placement: &StepPlacement<'_>, waiting: usize) {
        if !placement.urgent || !self.policies.preemption {
            return;
        }
        let room = placement.group.room;
        if self.refusals_of(placement, RefusalKind::Preemption).refuses(room, 1) {
            return;
        }
        for _ in 0..waiting {
            let workers = placement.eligible.all().iter().map(|(index, worker)| (*index, *worker));
            if !self.make_room(placement, workers, |worker| worker.pace.ratio <= SLOW_RATIO) {
                self.refusals_of(placement, RefusalKind::Preemption).refuse(room, 1);
                return;
            }
        }
    }

    /// Makes room for one task of a step on one of some workers that can be trusted; false when there is none to be had.
    fn make_room<'w>(
        &mut self,
        placement: &StepPlacement<'_>,
        workers: impl Iterator<Item = (WorkerIndex, &'w WorkerRecord)>,
        within: impl Fn(&WorkerRecord) -> bool,
    ) -> bool {
        let (state, now, book) = (self.state, self.now, &self.book);
        let may_use = |worker: WorkerIndex| {
            let record = placement.eligible.all().get(&worker);
            record.is_some_and(|record| record.health.may_try(now, 0) && within(record))
        };
        let preemption = self.preemption.get_or_insert_with(|| Preemption::new(state, now, book));
        preemption.make_room(placement.group.room, workers, may_use, book)
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
        let queues: BTreeMap<&Name, Arc<EffectiveQueue>> = state
            .zone_room
            .keys()
            .filter_map(|zone| Some((zone, state.placement_queue_settings(zone, &group.queue, &group.service)?)))
            .collect();
        let may = |worker: &WorkerRecord| {
            book.note(LookPurpose::Placement, 1);
            let queue = queues.get(&worker.told.zone);
            queue.is_some_and(|queue| worker.takes(queue, &group.service, &group.kinds, &group.labels))
        };
        let open = self.open_workers();
        let workers = open.iter().filter(|(_, worker)| may(worker)).map(|(index, worker)| (*index, *worker, book.free(*index, worker)));
        let found = Rc::new(EligibleWorkers::new(self.eligible.len(), workers));
        self.eligible.insert(key, found.clone());
        found
    }

    pub(crate) fn choice(&self) -> WorkerChoice<'_, 'a> {
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
