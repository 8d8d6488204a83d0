use crate::prelude::*;

/// What one round of placement has given out so far, on top of the committed state.
#[derive(Clone, Debug)]
pub struct RoundBook<'a> {
    state: &'a ClusterState,
    /// Room given, by worker.
    given: BTreeMap<WorkerIndex, Room>,
    /// Use given, by (zone, queue).
    used: BTreeMap<(Name, Name), Use>,
    /// Room given, by zone.
    zones: BTreeMap<Name, Room>,
    /// Tasks given of steps with a limit a worker.
    spread: BTreeMap<(WorkerIndex, StepId), u32>,
    looks: Cell<RoundLooks>,
}

impl<'a> RoundBook<'a> {
    /// A round that has given nothing yet.
    pub fn new(state: &'a ClusterState) -> Self {
        RoundBook {
            state,
            given: BTreeMap::new(),
            used: BTreeMap::new(),
            zones: BTreeMap::new(),
            spread: BTreeMap::new(),
            looks: Cell::default(),
        }
    }

    /// Room of a worker that is neither charged nor given.
    pub fn free(&self, worker: WorkerIndex, record: &WorkerRecord) -> Room {
        let given = self.given.get(&worker).copied().unwrap_or_default();
        record.room().sub(record.used).sub(given)
    }

    /// How many tasks a worker has; those given in this round count as one.
    pub fn live(&self, worker: WorkerIndex) -> usize {
        self.state.on_worker.get(&worker).map_or(0, BTreeSet::len) + usize::from(self.given.contains_key(&worker))
    }

    /// Tasks of a step on a worker.
    pub fn of_step(&self, worker: WorkerIndex, step: StepId) -> u32 {
        self.state.tasks_of_step_on(worker, step) + self.spread.get(&(worker, step)).copied().unwrap_or(0)
    }

    /// Counts looks.
    pub fn note(&self, purpose: LookPurpose, looks: u64) {
        let mut all = self.looks.get();
        all.note(purpose, looks);
        self.looks.set(all);
    }

    /// What the round cost so far.
    pub fn looks(&self) -> RoundLooks {
        self.looks.get()
    }

    /// Use of a queue in a zone.
    pub fn queue_use(&self, zone: &Name, queue: &Name) -> Use {
        let key = (zone.clone(), queue.clone());
        let committed = self.state.queue_use.get(&key).copied().unwrap_or_default();
        let given = self.used.get(&key).copied().unwrap_or_default();
        (committed.0 + given.0, committed.1.add(given.1))
    }

    /// Room given in a zone.
    pub fn given_in(&self, zone: &str) -> Room {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Gives a worker's room to one task of a group.
    pub fn charge(&mut self, worker: WorkerIndex, group: &ReadyGroup, step: StepId) {
        let zone = self.state.tables.workers[&worker].told.zone.clone();
        let given = self.given.entry(worker).or_default();
        *given = given.add(group.room);
        if group.spread.is_some() {
            *self.spread.entry((worker, step)).or_default() += 1;
        }
        let in_zone = self.zones.entry(zone.clone()).or_default();
        *in_zone = in_zone.add(group.room);
        let used = self.used.entry((zone, group.queue.clone())).or_default();
        *used = (used.0 + 1, used.1.add(group.room));
    }

    /// Takes back what one task of a group was given.
    pub fn refund(&mut self, worker: WorkerIndex, group: &ReadyGroup, step: StepId) {
        let zone = self.state.tables.workers[&worker].told.zone.clone();
        if let Some(given) = self.given.get_mut(&worker) {
            *given = given.sub(group.room);
            if *given == Room::default() {
                self.given.remove(&worker);
            }
        }
        if let Some(count) = self.spread.get_mut(&(worker, step)) {
            *count -= 1;
        }
        if let Some(in_zone) = self.zones.get_mut(&zone) {
            *in_zone = in_zone.sub(group.room);
        }
        if let Some(used) = self.used.get_mut(&(zone, group.queue.clone())) {
            *used = (used.0 - 1, used.1.sub(group.room));
        }
    }
}
