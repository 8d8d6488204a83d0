use crate::prelude::*;

/// A worker that could take a task, in the order in which workers are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// What is weighed before the lifetime bands are asked.
    pub preference: Preference,
    /// What the lifetime bands say.
    pub score: Score,
    /// The worker.
    pub worker: WorkerIndex,
}

/// A candidate, and how often its worker's room had been given when it was looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Look {
    candidate: Candidate,
    given: u32,
}

/// The candidates for the tasks of one step, the best one first: each worker is looked at once, and again only when its room was
/// given to a task. Nothing else that a candidate depends on changes within a step but what zones may take.
#[derive(Clone, Debug)]
pub struct CandidateQueue {
    heap: BinaryHeap<Reverse<Look>>,
    /// How often the room of a worker was given, where it was.
    given: BTreeMap<WorkerIndex, u32>,
}

impl CandidateQueue {
    /// The candidates among some workers.
    pub fn new<'w>(
        choice: &WorkerChoice<'_, '_>,
        placement: &StepPlacement<'_>,
        zones: &BTreeMap<Name, u64>,
        workers: impl Iterator<Item = (WorkerIndex, &'w WorkerRecord)>,
    ) -> Self {
        let candidates = workers.filter_map(|(worker, record)| choice.candidate(placement, worker, record, None, zones));
        let heap = candidates.map(|candidate| Reverse(Look { candidate, given: 0 })).collect();
        CandidateQueue { heap, given: BTreeMap::new() }
    }

    /// Takes the best worker out.
    pub fn take(&mut self, placement: &StepPlacement<'_>, zones: &BTreeMap<Name, u64>) -> Option<WorkerIndex> {
        while let Some(Reverse(Look { candidate, given })) = self.heap.pop() {
            let worker = candidate.worker;
            let newest = given == self.given.get(&worker).copied().unwrap_or(0);
            let record = placement.eligible.all().get(&worker);
            let open = record.is_some_and(|record| zones.get(&record.told.zone).is_some_and(|left| *left > 0));
            if newest && open {
                return Some(worker);
            }
        }
        None
    }

    /// Room of a worker was given: it goes to its new place, which may be a better one.
    pub fn renew(
        &mut self,
        choice: &WorkerChoice<'_, '_>,
        placement: &StepPlacement<'_>,
        zones: &BTreeMap<Name, u64>,
        worker: WorkerIndex,
    ) {
        let Some(record) = placement.eligible.all().get(&worker) else { return };
        let given = self.given.entry(worker).or_default();
        *given += 1;
        let candidate = choice.candidate(placement, worker, record, None, zones);
        self.heap.extend(candidate.map(|candidate| Reverse(Look { candidate, given: *given })));
    }
}
