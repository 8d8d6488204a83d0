use crate::prelude::*;

/// Gangs for which workers are set aside at the same time; the others claim workers against lesser work alone.
const MOST_RESERVATIONS: usize = 2;
/// All reservations but the first keep to this part of the workers that their gang may use.
const RESERVED_PART: usize = 4;
/// A worker that was set aside for the gang before is kept unless another has the room by this part of a hold interval sooner.
const KEPT_HOLD_PART: Millis = 1;
/// Room of an attempt that is being stopped is expected to be free after this part of a hold interval.
const STOP_HOLD_PART: Millis = 1;
/// Members that run faster within one rack wait for one by this part of their expected lifetime.
const RACK_WAIT_PART: Millis = 2;

/// The workers that are set aside in this round for gangs that fit nowhere now.
#[derive(Clone, Debug)]
pub struct ReservedWorkers<'a> {
    state: &'a ClusterState,
    now: Millis,
    /// What the last round set aside.
    before: &'a GangReservations,
    by_worker: BTreeMap<WorkerIndex, ReservedWorker>,
    /// Worked out when a gang claims workers.
    emptying: Option<Vec<EmptyingWorker>>,
    made: BTreeMap<StepId, GangReservation>,
    /// Steps whose turn came in this round.
    decided: BTreeSet<StepId>,
}

/// Whom one worker is set aside for.
#[derive(Clone, Copy, Debug)]
struct ReservedWorker {
    step: StepId,
    urgency: u8,
    exclusive: bool,
}

/// When a worker is expected to be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EmptyingWorker {
    at: Millis,
    worker: WorkerIndex,
}

/// A place for one more member: when the room is there, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MemberPlace {
    ready_at: Millis,
    worker: WorkerIndex,
}

impl<'a> ReservedWorkers<'a> {
    /// The workers that the last round set aside for one gang alone, as far as that gang still waits.
    pub fn new(state: &'a ClusterState, now: Millis, before: &'a GangReservations) -> Self {
        let mut reserved = ReservedWorkers {
            state,
            now,
            before,
            by_worker: BTreeMap::new(),
            emptying: None,
            made: BTreeMap::new(),
            decided: BTreeSet::new(),
        };
        for (step, reservation) in before.iter().filter(|(_, reservation)| reservation.exclusive) {
            if let Some(urgency) = Self::waiting_urgency(state, step) {
                reserved.enter(step, urgency, reservation);
            }
        }
        reserved
    }

    /// The urgency of a step that waits to start.
    fn waiting_urgency(state: &ClusterState, id: StepId) -> Option<u8> {
        let job = state.tables.jobs.get(&id.job).filter(|job| job.ending.is_none())?;
        job.step(id).filter(|step| step.live == 0 && step.waiting_count() > 0)?;
        Some(job.summary.urgency)
    }

    /// Whether a worker is open to the tasks of a step.
    pub fn admits(&self, worker: WorkerIndex, placement: &StepPlacement<'_>) -> bool {
        let Some(reserved) = self.by_worker.get(&worker) else { return true };
        reserved.step == placement.id || (!reserved.exclusive && placement.urgency >= reserved.urgency)
    }

    /// Whether no worker is set aside.
    pub fn is_empty(&self) -> bool {
        self.by_worker.is_empty()
    }

    /// Whether workers are set aside for a step.
    pub fn is_set_aside(&self, step: StepId) -> bool {
        self.by_worker.values().any(|reserved| reserved.step == step)
    }

    /// Gives a step's workers back.
    pub fn release(&mut self, step: StepId) {
        self.decided.insert(step);
        self.by_worker.retain(|_, reserved| reserved.step != step);
        self.made.remove(&step);
    }

    /// Sets workers aside for a gang that fits nowhere now; false when there are none to be set aside.
    pub fn reserve(&mut self, placement: &StepPlacement<'_>, book: &RoundBook<'_>, expected_ms: Millis) -> bool {
        self.release(placement.id);
        let exclusive: Vec<&GangReservation> = self.made.values().filter(|made| made.exclusive).collect();
        if exclusive.len() >= MOST_RESERVATIONS || !self.before.may_reserve(placement.id, self.now) {
            return false;
        }
        let Some(reservation) = self.choose(placement, book, expected_ms) else { return false };
        let workers: usize = exclusive.iter().map(|made| made.members.len()).sum();
        if workers > 0 && workers + reservation.members.len() > placement.eligible.all().len() / RESERVED_PART {
            return false;
        }
        self.enter(placement.id, placement.urgency, &reservation);
        self.made.insert(placement.id, reservation);
        true
    }

    /// Has lesser work leave workers alone on which a gang could run, those first that are expected to be empty first. Others of
    /// its urgency may use them meanwhile.
    pub fn claim(&mut self, placement: &StepPlacement<'_>, book: &RoundBook<'_>) {
        if self.by_worker.len() >= placement.eligible.all().len() {
            return;
        }
        book.note(LookPurpose::Reservation, placement.eligible.all().len() as u64);
        let member = placement.group.room;
        let mut left = u64::from(placement.group.gang);
        let could_ever: u64 = placement.eligible.all().values().map(|record| record.room().count_of(member).min(left)).sum();
        if could_ever < left || !self.before.may_reserve(placement.id, self.now) {
            return;
        }
        let mut claim = GangReservation::default();
        let emptying = self.emptying.take().unwrap_or_else(|| self.emptying_workers());
        book.note(LookPurpose::Reservation, emptying.len() as u64);
        for candidate in &emptying {
            if left == 0 {
                break;
            }
            let Some(record) = placement.eligible.all().get(&candidate.worker) else { continue };
            let members = record.room().count_of(member).min(left);
            if members == 0 || self.by_worker.contains_key(&candidate.worker) {
                continue;
            }
            left -= members;
            claim.members.insert(candidate.worker, members as u32);
            claim.ready_at = candidate.at;
        }
        self.emptying = Some(emptying);
        self.enter(placement.id, placement.urgency, &claim);
        self.made.insert(placement.id, claim);
    }

    /// All workers, by the time when they are expected to be empty.
    fn emptying_workers(&self) -> Vec<EmptyingWorker> {
        let exit = |worker: WorkerIndex| self.state.bands.worker(worker).and_then(WorkerView::exit);
        let emptying = |worker: &WorkerIndex| {
            let at = exit(*worker).unwrap_or(self.now).max(self.now);
            (at < FOREVER).then_some(EmptyingWorker { at, worker: *worker })
        };
        let mut workers: Vec<EmptyingWorker> = self.state.tables.workers.keys().filter_map(emptying).collect();
        workers.sort_unstable();
        workers
    }

    /// The reservations made in this round; of one that was cut short also those of gangs that still wait for their turn.
    pub fn into_made(mut self, cut: bool) -> BTreeMap<StepId, GangReservation> {
        let kept = self.before.iter().filter(|(step, _)| cut && !self.decided.contains(step));
        let waiting = kept.filter(|(step, _)| Self::waiting_urgency(self.state, *step).is_some());
        self.made.extend(waiting.map(|(step, reservation)| (step, reservation.clone())));
        self.made
    }

    fn enter(&mut self, step: StepId, urgency: u8, reservation: &GangReservation) {
        for worker in reservation.members.keys() {
            self.by_worker.insert(*worker, ReservedWorker { step, urgency, exclusive: reservation.exclusive });
        }
    }

    /// Predicted exits of a worker's tasks with their room, the first one in front. What is being stopped exits soon.
    fn exits(&self, worker: WorkerIndex) -> Vec<(Millis, Room)> {
        let Some(slot) = self.state.bands.worker(worker) else { return Vec::new() };
        let soon = self.now + self.state.tables.rules.hold_interval_ms / STOP_HOLD_PART;
        let mut exits = Vec::with_capacity(slot.tasks().len());
        for task in self.state.on_worker.get(&worker).into_iter().flatten() {
            let Some(attempt) = self.state.tables.attempts.get(task) else { continue };
            let predicted = slot.tasks().get(&attempt.key).map_or(FOREVER, |running| running.exit.max(self.now));
            exits.push((if attempt.stop.is_some() { predicted.min(soon) } else { predicted }, attempt.room));
        }
        exits.sort_unstable();
        exits
    }

    /// The workers that have room for all members first, those of one rack where that is worth the wait.
    fn choose(&self, placement: &StepPlacement<'_>, book: &RoundBook<'_>, expected_ms: Millis) -> Option<GangReservation> {
        let places = self.member_places(placement, book);
        let members = placement.group.gang as usize;
        let anywhere = Self::earliest(&places, members)?;
        if !placement.group.same_rack {
            return Some(anywhere);
        }
        let mut racks: BTreeMap<&Name, Vec<MemberPlace>> = BTreeMap::new();
        for place in &places {
            racks.entry(&placement.eligible.all()[&place.worker].told.rack).or_default().push(*place);
        }
        let in_rack = racks.values().filter_map(|places| Self::earliest(places, members)).min_by_key(|found| found.ready_at);
        let worth = anywhere.ready_at.saturating_add(expected_ms / RACK_WAIT_PART);
        Some(in_rack.filter(|found| found.ready_at <= worth).unwrap_or(anywhere))
    }

    /// The first places of a sorted list.
    fn earliest(places: &[MemberPlace], members: usize) -> Option<GangReservation> {
        let first = places.get(..members)?;
        let mut reservation = GangReservation { exclusive: true, ..GangReservation::default() };
        for place in first {
            *reservation.members.entry(place.worker).or_default() += 1;
            reservation.ready_at = reservation.ready_at.max(place.ready_at);
        }
        Some(reservation)
    }

    /// All places for members on sound workers, the one that is free first in front.
    fn member_places(&self, placement: &StepPlacement<'_>, book: &RoundBook<'_>) -> Vec<MemberPlace> {
        let kept_ms = self.state.tables.rules.hold_interval_ms / KEPT_HOLD_PART;
        let kept = self.before.get(placement.id).filter(|kept| kept.exclusive);
        let mut places: Vec<(Millis, MemberPlace)> = Vec::new();
        for (&worker, &record) in placement.eligible.all() {
            book.note(LookPurpose::Reservation, 1 + self.state.on_worker.get(&worker).map_or(0, BTreeSet::len) as u64);
            let taken = self.by_worker.get(&worker).is_some_and(|reserved| reserved.exclusive);
            if taken || !record.health.may_try(self.now, 0) || !is_sound(record) {
                continue;
            }
            let is_kept = kept.is_some_and(|kept| kept.members.contains_key(&worker));
            let late = if is_kept { 0 } else { kept_ms };
            for ready_at in self.ready_times(placement, worker, book.free(worker, record)) {
                places.push((ready_at + late, MemberPlace { ready_at, worker }));
            }
        }
        places.sort_unstable();
        places.into_iter().map(|(_, place)| place).collect()
    }

    /// When a worker has room for one more member, and for the next.
    fn ready_times(&self, placement: &StepPlacement<'_>, worker: WorkerIndex, mut free: Room) -> Vec<Millis> {
        let member = placement.group.room;
        let most = placement.group.spread.map_or(u64::MAX, |(most, _)| u64::from(most));
        let most = most.min(u64::from(placement.group.gang));
        let mut times = vec![self.now; free.count_of(member).min(most) as usize];
        for (exit, room) in self.exits(worker) {
            if exit >= FOREVER || times.len() as u64 >= most {
                break;
            }
            free = free.add(room);
            let more = free.count_of(member).min(most) as usize;
            times.resize(more.max(times.len()), exit);
        }
        times
    }
}
