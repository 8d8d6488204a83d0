use crate::prelude::*;

/// Workers of one rack.
pub type RackWorkers<'a> = Vec<(WorkerIndex, &'a WorkerRecord)>;

/// Workers that alike tasks may use, room and trust aside: worked out once a round for all tasks that ask for the same.
#[derive(Clone, Debug, Default)]
pub struct EligibleWorkers<'a> {
    all: BTreeMap<WorkerIndex, &'a WorkerRecord>,
    racks: BTreeMap<&'a Name, RackWorkers<'a>>,
}

impl<'a> EligibleWorkers<'a> {
    /// A set of workers.
    pub fn new(workers: impl Iterator<Item = (WorkerIndex, &'a WorkerRecord)>) -> Self {
        let mut eligible = EligibleWorkers::default();
        for (index, worker) in workers {
            eligible.all.insert(index, worker);
            eligible.racks.entry(&worker.told.rack).or_default().push((index, worker));
        }
        eligible
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
