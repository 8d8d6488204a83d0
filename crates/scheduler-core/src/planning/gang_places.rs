//! Places for all members of a gang, or room set aside for them.

use crate::prelude::*;

/// Use of a service's workers, in millionths of the dimension that is used most, from which workers are set aside for gangs.
const SCARCE_PPM: u64 = 550_000;

impl<'a> StartPlanner<'a> {
    /// Plans all members of a gang, or sets room aside for them.
    pub(crate) fn plan_gang(&mut self, placement: &StepPlacement<'_>) -> bool {
        let members: Vec<u32> = placement.step.waiting().collect();
        let Some(places) = self.gang_places(placement, &members) else {
            if self.policies.gang_reservation {
                self.reserve(placement);
            }
            return false;
        };
        if self.reserved.is_set_aside(placement.id) {
            // Workers that were closed to others are open again.
            self.refusals.clear();
        }
        self.reserved.release(placement.id);
        self.count += members.len();
        self.plans.push((members.iter().map(|member| placement.id.task(*member)).zip(places).collect(), true));
        true
    }

    /// Sets workers aside for a gang that fits nowhere.
    fn reserve(&mut self, placement: &StepPlacement<'_>) {
        if self.service_use_ppm(&placement.group.service) < SCARCE_PPM {
            return;
        }
        let expected_ms = placement.ranked.exit.saturating_sub(self.now);
        if !self.reserved.reserve(placement, &self.book, expected_ms) && self.policies.gang_claims {
            self.reserved.claim(placement, &self.book);
        }
    }

    /// Use of a service's workers in the dimension that is used most, in millionths.
    fn service_use_ppm(&mut self, service: &Name) -> u64 {
        let workers = &self.state.tables.workers;
        *self.service_use.entry(service.clone()).or_insert_with(|| {
            self.book.note(LookPurpose::Reservation, workers.len() as u64);
            let of_service = workers.values().filter(|worker| worker.told.service == *service);
            let (room, used) = of_service
                .fold((Room::default(), Room::default()), |(room, used), worker| (room.add(worker.room()), used.add(worker.used)));
            used.dominant_ppm(room)
        })
    }

    /// Workers for a whole gang, unless as many places of as much room were refused already.
    fn gang_places(&mut self, placement: &StepPlacement<'_>, members: &[u32]) -> Option<Vec<WorkerIndex>> {
        let (room, wanted) = (placement.group.room, members.len() as u32);
        if self.is_refused(placement, RefusalKind::Gang, wanted) {
            return None;
        }
        let found = self.find_gang_places(placement, members);
        if found.is_none() && placement.group.spread.is_none() {
            self.refusals_of(placement, RefusalKind::Gang).refuse(room, wanted);
        }
        found
    }

    /// Workers for a whole gang: within one rack where that is faster and possible.
    fn find_gang_places(&mut self, placement: &StepPlacement<'_>, members: &[u32]) -> Option<Vec<WorkerIndex>> {
        let wanted = members.len() as u64;
        let most: Vec<u64> = placement.eligible.racks().map(|rack| self.most_members(placement, rack)).collect();
        if most.iter().copied().fold(0, u64::saturating_add) < wanted {
            return None;
        }
        if placement.group.same_rack {
            for (rack, _) in placement.eligible.racks().zip(most).filter(|(_, most)| *most >= wanted) {
                let found = self.places(placement, members, rack);
                if found.is_some() {
                    return found;
                }
            }
        }
        let anywhere: RackWorkers<'_> = placement.eligible.all().iter().map(|(index, worker)| (*index, *worker)).collect();
        self.places(placement, members, &anywhere)
    }

    /// How many members of a gang some workers have room for at most.
    fn most_members(&self, placement: &StepPlacement<'_>, workers: &[(WorkerIndex, &WorkerRecord)]) -> u64 {
        let group = placement.group;
        let spread = group.spread.map_or(u64::MAX, |(most, _)| u64::from(most));
        let places = workers.iter().map(|(index, worker)| {
            self.book.note(LookPurpose::Placement, 1);
            self.book.free(*index, worker).count_of(group.room).min(spread)
        });
        places.fold(0, u64::saturating_add)
    }

    /// Workers among some for all members of a gang, or none; what they take is charged.
    fn places(
        &mut self,
        placement: &StepPlacement<'_>,
        members: &[u32],
        workers: &[(WorkerIndex, &WorkerRecord)],
    ) -> Option<Vec<WorkerIndex>> {
        let mut candidates = self.candidates(placement);
        let queue = CandidateQueue::new(&self.choice(), placement, &candidates.zones, workers.iter().copied());
        candidates.anywhere = Some((placement.pressing, queue));
        let mut found: Vec<WorkerIndex> = Vec::with_capacity(members.len());
        for &member in members {
            let avoid = placement.step.tasks[member as usize].avoid;
            let place = match avoid {
                Some(_) => {
                    let best = self.choice().best(placement, avoid, &candidates.zones, workers.iter().copied());
                    best.inspect(|worker| self.charge(placement, *worker, &mut candidates))
                }
                None => self.take_anywhere(placement, None, &mut candidates),
            };
            let Some(worker) = place else {
                for worker in found {
                    self.book.refund(worker, placement.group, placement.id);
                }
                return None;
            };
            found.push(worker);
        }
        Some(found)
    }
}
