use crate::prelude::*;

/// An attempt that would lose more than this goes on.
const MOST_LOSS_MS: Millis = 400;
/// What a stop without a checkpoint loses beyond the work done: the next start.
const RESTART_MS: Millis = 300;
/// Work since the last checkpoint that a stop of a checkpointing task loses at most, as it checkpoints when it is stopped.
const CHECKPOINT_LOSS_MS: Millis = 200;

/// An attempt that could be stopped for urgent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LesserAttempt {
    /// What its stop loses.
    pub loss: u64,
    /// Its task.
    pub task: TaskId,
    /// The room that its stop gives.
    pub room: Room,
}

/// The attempts that could be stopped for urgent work, by worker: worked out once a round, however many tasks ask.
#[derive(Clone, Debug, Default)]
pub struct LesserWork {
    /// Each worker's, the least loss in front.
    by_worker: BTreeMap<WorkerIndex, Vec<LesserAttempt>>,
    /// The most room in each dimension that any worker could be left with.
    widest: Room,
}

impl LesserWork {
    /// What runs now.
    pub fn new(state: &ClusterState, now: Millis, book: &RoundBook<'_>) -> Self {
        let mut lesser = LesserWork::default();
        book.note(LookPurpose::Preemption, state.tables.attempts.len() as u64);
        for (task, attempt) in &state.tables.attempts {
            if let Some(found) = lesser_attempt(state, now, *task, attempt) {
                lesser.by_worker.entry(attempt.worker).or_default().push(found);
            }
        }
        for (worker, attempts) in &mut lesser.by_worker {
            attempts.sort_unstable_by_key(|attempt| (attempt.loss, attempt.task));
            if let Some(record) = state.tables.workers.get(worker) {
                let free = record.room().sub(record.used);
                lesser.widest = lesser.widest.envelope(attempts.iter().fold(free, |free, attempt| free.add(attempt.room)));
            }
        }
        lesser
    }

    /// Whether so much room could be had anywhere, as far as one comparison tells.
    pub fn could_leave(&self, need: Room) -> bool {
        need.fits(self.widest)
    }

    /// What the stops on one worker lose that leave so much room, and how many there are; `None` where `most` aren't enough, or none
    /// is needed.
    pub fn offer(&self, need: Room, worker: WorkerIndex, record: &WorkerRecord, most: usize, book: &RoundBook<'_>) -> Option<(u64, usize)> {
        let attempts = self.by_worker.get(&worker)?;
        let mut free = record.room().sub(record.used);
        let (mut loss, mut victims) = (0, 0);
        for attempt in attempts.iter().take(most) {
            if need.fits(free) {
                break;
            }
            free = free.add(attempt.room);
            loss += attempt.loss;
            victims += 1;
        }
        book.note(LookPurpose::Preemption, 1 + victims as u64);
        (need.fits(free) && victims > 0).then_some((loss, victims))
    }

    /// Takes out the attempts of a worker whose stops lose least.
    pub fn take(&mut self, worker: WorkerIndex, victims: usize) -> Vec<LesserAttempt> {
        let Some(attempts) = self.by_worker.get_mut(&worker) else { return Vec::new() };
        attempts.drain(..victims.min(attempts.len())).collect()
    }
}

/// An attempt as one that could be stopped; `None` for what isn't to be.
fn lesser_attempt(state: &ClusterState, now: Millis, task: TaskId, attempt: &Attempt) -> Option<LesserAttempt> {
    let tables = &state.tables;
    let since = attempt.started.as_ref().filter(|_| attempt.stop.is_none())?.0;
    let job = tables.jobs.get(&task.job).filter(|job| job.summary.urgency < tables.rules.urgent_from)?;
    let step = job.spec.as_deref()?.steps.get(usize::from(task.step)).filter(|step| !step.gang)?;
    let done_ms = now.saturating_sub(since);
    let lost_ms = if step.checkpoints { done_ms.min(CHECKPOINT_LOSS_MS) } else { done_ms };
    if lost_ms > MOST_LOSS_MS {
        return None;
    }
    // By the room as well, in the dimension that binds: what is lost is work, not time.
    let part = attempt.room.dominant_ppm(tables.workers.get(&attempt.worker)?.room());
    Some(LesserAttempt { loss: (lost_ms + RESTART_MS) * part, task, room: attempt.room })
}
