use crate::prelude::*;

/// Workers of one rack.
pub type RackWorkers<'a> = Vec<(WorkerIndex, &'a WorkerRecord)>;

/// Workers that alike tasks may use, room and trust aside: worked out once a round for all tasks that ask for the same.
#[derive(Clone, Debug, Default)]
pub struct EligibleWorkers<'a> {
    number: usize,
    all: BTreeMap<WorkerIndex, &'a WorkerRecord>,
    racks: BTreeMap<&'a Name, RackWorkers<'a>>,
    widest: Room,
}

impl<'a> EligibleWorkers<'a> {
    /// A set of workers with their free rooms; its number tells it from other sets of its round.
    pub fn new(number: usize, workers: impl Iterator<Item = (WorkerIndex, &'a WorkerRecord, Room)>) -> Self {
        let mut eligible = EligibleWorkers { number, ..EligibleWorkers::default() };
        for (index, worker, free) in workers {
            eligible.all.insert(index, worker);
            eligible.racks.entry(&worker.told.rack).or_default().push((index, worker));
            eligible.widest = eligible.widest.envelope(free);
        }
        eligible
    }

    /// Its number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// The most room in each dimension that was free on any of them: what doesn't fit into this fits nowhere.
    pub fn widest(&self) -> Room {
        self.widest
    }

    /// All of them.
    pub fn all(&self) -> &BTreeMap<WorkerIndex, &'a WorkerRecord> {
        &self.all
    }

    /// Each rack's.
    pub fn racks(&self) -> impl Iterator<Item = &RackWorkers<'a>> {
        self.racks.values()
    }

    /// One rack's.
    pub fn in_rack(&self, rack: &Name) -> &[(WorkerIndex, &'a WorkerRecord)] {
        self.racks.get(rack).map_or(&[], Vec::as_slice)
    }
}
