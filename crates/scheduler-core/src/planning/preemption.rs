use crate::prelude::*;

/// Attempts on their way out for more urgent work at most: room that is freed is used before more is.
const MOST_OUT: usize = 12;

/// Finds attempts of less urgent work whose room a waiting urgent task could have. Only what is asked of it is decided here;
/// a stop is as every other stop, and the room is free once its end is proven.
pub struct Preemption<'a> {
    state: &'a ClusterState,
    now: Millis,
    /// Attempts chosen so far.
    chosen: Vec<TaskId>,
    /// How many more may be chosen.
    left: usize,
    /// Room that attempts on their way out will leave, by worker.
    freeing: BTreeMap<WorkerIndex, Room>,
    /// Room that waiting tasks were promised in this round, by worker.
    promised: BTreeMap<WorkerIndex, Room>,
    /// What could be stopped, worked out when something is to be.
    lesser: Option<LesserWork>,
}

/// What has to go on one worker, and what that loses.
struct PreemptionOffer {
    loss: u64,
    worker: WorkerIndex,
    victims: usize,
}

impl<'a> Preemption<'a> {
    /// Over a state; what is being stopped for urgent work already counts.
    pub fn new(state: &'a ClusterState, now: Millis, book: &RoundBook<'_>) -> Self {
        let mut freeing: BTreeMap<WorkerIndex, Room> = BTreeMap::new();
        let mut out = 0;
        book.note(LookPurpose::Preemption, state.tables.attempts.len() as u64);
        for attempt in state.tables.attempts.values().filter(|attempt| attempt.stop == Some(StopReason::Preempted)) {
            let room = freeing.entry(attempt.worker).or_default();
            *room = room.add(attempt.room);
            out += 1;
        }
        let left = MOST_OUT.saturating_sub(out);
        Preemption { state, now, chosen: Vec::new(), left, freeing, promised: BTreeMap::new(), lesser: None }
    }

    /// Makes room for one task of so much on one of these workers, at the least loss; false when there is none to be had. Room
    /// that is on its way already is promised first.
    pub fn make_room<'w>(
        &mut self,
        need: Room,
        workers: impl Iterator<Item = (WorkerIndex, &'w WorkerRecord)>,
        may_use: impl Fn(WorkerIndex) -> bool,
        book: &RoundBook<'_>,
    ) -> bool {
        book.note(LookPurpose::Preemption, 1 + self.freeing.len() as u64);
        if let Some(worker) = self.on_its_way(need, &may_use) {
            self.promise(worker, need);
            return true;
        }
        if self.left == 0 {
            return false;
        }
        let lesser = self.lesser.get_or_insert_with(|| LesserWork::new(self.state, self.now, book));
        if !lesser.could_leave(need) {
            return false;
        }
        let offers = workers.filter(|(worker, _)| may_use(*worker)).filter_map(|(worker, record)| {
            let (loss, victims) = lesser.offer(need, worker, record, self.left, book)?;
            Some(PreemptionOffer { loss, worker, victims })
        });
        let Some(best) = offers.min_by_key(|offer| offer.loss) else { return false };
        self.accept(&best);
        self.promise(best.worker, need);
        true
    }

    fn accept(&mut self, offer: &PreemptionOffer) {
        let Some(lesser) = &mut self.lesser else { return };
        self.left -= offer.victims;
        let freeing = self.freeing.entry(offer.worker).or_default();
        for victim in lesser.take(offer.worker, offer.victims) {
            *freeing = freeing.add(victim.room);
            self.chosen.push(victim.task);
        }
    }

    fn promise(&mut self, worker: WorkerIndex, need: Room) {
        let promised = self.promised.entry(worker).or_default();
        *promised = promised.add(need);
    }

    /// A worker on which what is being stopped leaves enough.
    fn on_its_way(&self, need: Room, may_use: impl Fn(WorkerIndex) -> bool) -> Option<WorkerIndex> {
        let enough = |worker: WorkerIndex, freeing: Room| {
            let Some(record) = self.state.tables.workers.get(&worker).filter(|_| may_use(worker)) else { return false };
            let promised = self.promised.get(&worker).copied().unwrap_or_default();
            need.add(promised).fits(record.room().sub(record.used).add(freeing))
        };
        self.freeing.iter().find(|(worker, freeing)| enough(**worker, **freeing)).map(|(worker, _)| *worker)
    }

    /// The attempts chosen.
    pub fn into_victims(mut self) -> Vec<TaskId> {
        self.chosen.sort_unstable();
        self.chosen
    }
}
