use crate::prelude::*;

/// Attempts on their way out for more urgent work at most: room that is freed is used before more is.
const MOST_OUT: usize = 12;
/// An attempt that would lose more than this goes on.
const MOST_LOSS_MS: Millis = 400;
/// What a stop without a checkpoint loses beyond the work done: the next start.
const RESTART_MS: Millis = 300;
/// Work since the last checkpoint that a stop of a checkpointing task loses at most, as it checkpoints when it is stopped.
const CHECKPOINT_LOSS_MS: Millis = 200;

/// Finds attempts of less urgent work whose room a waiting urgent task could have. Only what is asked of it is decided here;
/// a stop is as every other stop, and the room is free once its end is proven.
pub struct Preemption<'a> {
    state: &'a ClusterState,
    now: Millis,
    /// Attempts chosen so far.
    chosen: BTreeSet<TaskId>,
    /// How many more may be chosen.
    left: usize,
    /// Room that attempts on their way out will leave, by worker.
    freeing: BTreeMap<WorkerIndex, Room>,
    /// Room that waiting tasks were promised in this round, by worker.
    promised: BTreeMap<WorkerIndex, Room>,
}

impl<'a> Preemption<'a> {
    /// Over a state; what is being stopped for urgent work already counts.
    pub fn new(state: &'a ClusterState, now: Millis) -> Self {
        let mut freeing: BTreeMap<WorkerIndex, Room> = BTreeMap::new();
        let mut out = 0;
        for a in state.tables.attempts.values().filter(|a| a.stop == Some(StopReason::Preempted)) {
            let room = freeing.entry(a.worker).or_default();
            *room = room.add(a.room);
            out += 1;
        }
        let left = MOST_OUT.saturating_sub(out);
        Preemption { state, now, chosen: BTreeSet::new(), left, freeing, promised: BTreeMap::new() }
    }

    /// Makes room for one task of so much on one of these workers, at the least loss; false when there is none to be had. Room
    /// that is on its way already is promised first.
    pub fn make_room(&mut self, need: Room, workers: &BTreeMap<WorkerIndex, &WorkerRecord>, book: &RoundBook<'_>) -> bool {
        book.note(LookPurpose::Preemption, self.freeing.len() as u64);
        if let Some(worker) = self.on_its_way(need, workers) {
            self.promise(worker, need);
            return true;
        }
        let offers = workers.iter().filter_map(|(i, w)| self.offer(need, *i, w, book));
        let Some((_, worker, victims)) = offers.min_by_key(|(loss, ..)| *loss) else { return false };
        self.left -= victims.len();
        for victim in &victims {
            let room = self.freeing.entry(worker).or_default();
            *room = room.add(self.state.tables.attempts[victim].room);
        }
        self.chosen.extend(victims);
        self.promise(worker, need);
        true
    }

    fn promise(&mut self, worker: WorkerIndex, need: Room) {
        let promised = self.promised.entry(worker).or_default();
        *promised = promised.add(need);
    }

    /// A worker on which what is being stopped leaves enough.
    fn on_its_way(&self, need: Room, workers: &BTreeMap<WorkerIndex, &WorkerRecord>) -> Option<WorkerIndex> {
        let enough = |worker: &WorkerIndex, freeing: &Room| {
            let Some(w) = workers.get(worker) else { return false };
            let promised = self.promised.get(worker).copied().unwrap_or_default();
            need.add(promised).fits(w.room().sub(w.used).add(*freeing))
        };
        self.freeing.iter().find(|(worker, freeing)| enough(worker, freeing)).map(|(worker, _)| *worker)
    }

    /// The attempts chosen.
    pub fn into_victims(self) -> Vec<TaskId> {
        self.chosen.into_iter().collect()
    }

    /// What has to go on one worker, and what that loses.
    fn offer(&self, need: Room, worker: WorkerIndex, w: &WorkerRecord, book: &RoundBook<'_>) -> Option<(u64, WorkerIndex, Vec<TaskId>)> {
        let on = self.state.on_worker.get(&worker)?;
        book.note(LookPurpose::Preemption, 1 + on.len() as u64);
        let mut lesser: Vec<(u64, TaskId, Room)> = on.iter().filter_map(|t| self.loss(*t).map(|(loss, room)| (loss, *t, room))).collect();
        lesser.sort_unstable_by_key(|(loss, t, _)| (*loss, *t));
        let mut free = w.room().sub(w.used);
        let (mut sum, mut victims) = (0, Vec::new());
        for (loss, task, room) in lesser {
            if need.fits(free) {
                break;
            }
            free = free.add(room);
            sum += loss;
            victims.push(task);
        }
        (need.fits(free) && !victims.is_empty() && victims.len() <= self.left).then_some((sum, worker, victims))
    }

    /// What a stop of an attempt loses, and the room it gives; `None` for what isn't to be stopped.
    fn loss(&self, task: TaskId) -> Option<(u64, Room)> {
        let t = &self.state.tables;
        let a = t.attempts.get(&task).filter(|a| a.stop.is_none() && !self.chosen.contains(&task))?;
        let j = t.jobs.get(&task.job).filter(|j| j.summary.urgency < t.rules.urgent_from)?;
        let spec = j.spec.as_deref()?;
        let step = spec.steps.get(task.step as usize).filter(|s| !s.gang)?;
        let since = a.started.as_ref().map(|s| s.0)?;
        let done = self.now.saturating_sub(since);
        let lost = if step.checkpoints { done.min(CHECKPOINT_LOSS_MS) } else { done };
        if lost > MOST_LOSS_MS {
            return None;
        }
        // By the room as well, in the dimension that binds: what is lost is work, not time.
        let part = a.room.dominant_ppm(t.workers.get(&a.worker)?.room());
        Some(((lost + RESTART_MS) * part, a.room))
    }
}
