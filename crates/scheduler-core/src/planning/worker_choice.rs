use crate::prelude::*;

/// A worker whose tasks take longer than this against their like counts as slow.
pub(crate) const SLOW_RATIO: f64 = 1.6;
/// Urgent tasks go first to workers whose tasks take no longer than this against their like.
const FAST_RATIO: f64 = 1.08;
/// Room of a worker, in millionths, that less urgent work leaves free while there is another.
const SPARED_PPM: u64 = 150_000;

/// Whether a worker is neither slow nor doubted.
pub(crate) fn is_sound(worker: &WorkerRecord) -> bool {
    worker.pace.ratio <= SLOW_RATIO && !worker.health.is_doubted()
}

/// How well a worker suits a task before the lifetime bands are asked; less is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// Whether it is set aside for a gang.
    reserved: bool,
    /// Nearness, pace and soundness.
    tier: Tier,
    /// What wide tasks lose.
    wide_loss: u64,
    /// Whether less urgent work would leave too little of it for urgent work.
    crowded: bool,
}

/// Near its data before far, fast before others for urgent tasks, sound before slow or doubted; the worker on which the task
/// failed comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    NearAndFast,
    Near,
    Fast,
    Sound,
    Other,
    Avoided,
}

/// Chooses the worker for one task, from the committed state and what the round has given so far.
#[derive(Clone, Copy, Debug)]
pub struct WorkerChoice<'r, 'a> {
    /// The committed state.
    pub state: &'a ClusterState,
    /// Cluster time.
    pub now: Millis,
    /// The policies in force.
    pub policies: PlacementPolicies,
    /// What the round has given.
    pub book: &'r RoundBook<'a>,
    /// Shapes that need whole room.
    pub wide_shapes: &'r WideShapes,
    /// Workers set aside for gangs.
    pub reserved: &'r ReservedWorkers<'a>,
    /// Racks that urgent tasks wait for: lesser work leaves them alone.
    pub awaited_racks: &'r BTreeSet<&'a Name>,
}

impl WorkerChoice<'_, '_> {
    /// The best of some workers for one task that failed on one of them, with `zones` more tasks allowed in each zone.
    pub fn best<'w>(
        &self,
        placement: &StepPlacement<'_>,
        avoid: Option<WorkerIndex>,
        zones: &BTreeMap<Name, u64>,
        workers: impl Iterator<Item = (WorkerIndex, &'w WorkerRecord)>,
    ) -> Option<WorkerIndex> {
        let candidates = workers.filter_map(|(worker, record)| self.candidate(placement, worker, record, avoid, zones));
        candidates.min().map(|best| best.worker)
    }

    /// How a worker stands for one more task of the step; `None` where it can't take it.
    pub fn candidate(
        &self,
        placement: &StepPlacement<'_>,
        worker: WorkerIndex,
        record: &WorkerRecord,
        avoid: Option<WorkerIndex>,
        zones: &BTreeMap<Name, u64>,
    ) -> Option<Candidate> {
        if !self.fits(placement, worker, record, zones) {
            return None;
        }
        let preference = self.preference(placement, worker, record, avoid)?;
        let strategy = if self.policies.lifetime_bands { PlacementStrategy::Lava } else { PlacementStrategy::BestFit };
        let score = self.state.bands.score(self.now, placement.ranked, &strategy, worker)?;
        Some(Candidate { preference, score, worker })
    }

    /// Whether a worker may and can take one more task of the step now.
    fn fits(&self, placement: &StepPlacement<'_>, worker: WorkerIndex, record: &WorkerRecord, zones: &BTreeMap<Name, u64>) -> bool {
        self.book.note(LookPurpose::Placement, 1);
        let group = placement.group;
        let left_alone = !placement.urgent && self.awaited_racks.contains(&record.told.rack);
        group.room.fits(self.book.free(worker, record))
            && !left_alone
            && zones.get(&record.told.zone).is_some_and(|left| *left > 0)
            && record.health.may_try(self.now, self.book.live(worker))
            && group.spread.is_none_or(|(most, id)| self.book.of_step(worker, id) < most)
    }

    /// How well a worker suits; `None` where it is set aside for a gang, which urgent and pressing work may use as the last.
    fn preference(
        &self,
        placement: &StepPlacement<'_>,
        worker: WorkerIndex,
        record: &WorkerRecord,
        avoid: Option<WorkerIndex>,
    ) -> Option<Preference> {
        let room = placement.group.room;
        let admitted = self.reserved.admits(worker, placement);
        if !admitted && !placement.urgent && !placement.pressing {
            return None;
        }
        let tier = if Some(worker) == avoid { Tier::Avoided } else { self.tier(placement, record) };
        let wide_loss = match self.policies.wide_shapes {
            true => self.wide_shapes.loss(&record.told.service, self.book.free(worker, record), room),
            false => 0,
        };
        let crowded = self.policies.spared_room && !placement.urgent && !self.spares_room(worker, record, room);
        Some(Preference { reserved: !admitted, tier, wide_loss, crowded })
    }

    fn tier(&self, placement: &StepPlacement<'_>, record: &WorkerRecord) -> Tier {
        if self.policies.sound_first && !is_sound(record) {
            return Tier::Other;
        }
        let near = placement.group.near_rack.as_ref().is_none_or(|rack| *rack == record.told.rack);
        let fast = !placement.urgent || record.pace.ratio <= FAST_RATIO || !self.policies.sound_first;
        match (near, fast) {
            (true, true) => Tier::NearAndFast,
            (true, false) => Tier::Near,
            (false, true) => Tier::Fast,
            (false, false) => Tier::Sound,
        }
    }

    /// Whether a task leaves enough of a worker for urgent work.
    fn spares_room(&self, worker: WorkerIndex, record: &WorkerRecord, room: Room) -> bool {
        let free = self.book.free(worker, record).sub(room);
        free.scarcest_ppm(record.room()) >= SPARED_PPM
    }
}
