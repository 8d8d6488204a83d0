use crate::prelude::*;

/// A reservation is given up after this many times the span in which a gang must run whole, and made anew after as long.
const MOST_GANG_BUDGETS: u64 = 4;

/// Workers that are set aside for a gang that fits nowhere now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GangReservation {
    /// How many members each worker is to take.
    pub members: BTreeMap<WorkerIndex, u32>,
    /// When the last of these workers is expected to have the room, by the predicted exits of its tasks.
    pub ready_at: Millis,
    /// Whether they are closed to all other work that isn't urgent; else to work less urgent than the gang alone.
    pub exclusive: bool,
}

/// The reservations of the last round, with their age.
///
/// ```
/// use cluster_messages::StepId;
/// use scheduler_core::{GangReservation, GangReservations};
/// let step = StepId { job: 1, occurrence: 0, step: 0 };
/// let made = [(step, GangReservation { members: [(7, 2)].into(), ready_at: 3_000, exclusive: true })].into();
/// let mut reservations = GangReservations::default();
/// reservations.settle(1_000, &made, 4_000);
/// reservations.settle(9_000, &made, 4_000);
/// assert!(reservations.may_reserve(step, 16_999));
/// reservations.settle(17_000, &made, 4_000);
/// assert!(reservations.iter().next().is_none(), "no room is idle for longer than that");
/// assert!(!reservations.may_reserve(step, 17_001) && reservations.may_reserve(step, 33_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GangReservations {
    held: BTreeMap<StepId, HeldReservation>,
    /// Steps whose reservation was given up, and when they may have another.
    lapsed: BTreeMap<StepId, Millis>,
}

/// A reservation, and when it was made first and last. It is remembered for a while when a round doesn't make it again, so that
/// its age counts on when the next one does.
#[derive(Clone, Debug)]
struct HeldReservation {
    reservation: Option<GangReservation>,
    since: Millis,
    last: Millis,
}

impl GangReservations {
    /// Whether room may be set aside for a step now.
    pub fn may_reserve(&self, step: StepId, now: Millis) -> bool {
        self.lapsed.get(&step).is_none_or(|until| now >= *until)
    }

    /// The reservation of a step.
    pub fn get(&self, step: StepId) -> Option<&GangReservation> {
        self.held.get(&step).and_then(|held| held.reservation.as_ref())
    }

    /// All reservations.
    pub fn iter(&self) -> impl Iterator<Item = (StepId, &GangReservation)> {
        self.held.iter().filter_map(|(step, held)| Some((*step, held.reservation.as_ref()?)))
    }

    /// Takes over what a round set aside; what it did not set aside again is free.
    pub fn settle(&mut self, now: Millis, made: &BTreeMap<StepId, GangReservation>, gang_time_budget_ms: Millis) {
        let most = MOST_GANG_BUDGETS * gang_time_budget_ms;
        self.lapsed.retain(|_, until| now < *until);
        self.held.retain(|_, held| now < held.last + most);
        for held in self.held.values_mut() {
            held.reservation = None;
        }
        for (step, reservation) in made {
            let since = self.held.get(step).map_or(now, |held| held.since);
            if now >= since + most {
                self.held.remove(step);
                self.lapsed.insert(*step, now + most);
            } else {
                self.held.insert(*step, HeldReservation { reservation: Some(reservation.clone()), since, last: now });
            }
        }
    }
}
