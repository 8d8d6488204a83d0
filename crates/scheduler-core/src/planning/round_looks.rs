use crate::prelude::*;

/// What a round of placement looks at something for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookPurpose {
    /// The order of the waiting steps: a step or a group.
    Ordering,
    /// A place for a task: a worker.
    Placement,
    /// Room to be set aside for a gang: a worker, or a task on it.
    Reservation,
    /// Lesser work to be stopped: a worker, or a task on it.
    Preemption,
}

/// How often a round looked at a worker, a task or a step, by purpose: what the round cost.
///
/// ```
/// use scheduler_core::{LookPurpose, RoundLooks};
/// let mut looks = RoundLooks::default();
/// looks.note(LookPurpose::Placement, 3);
/// looks.note(LookPurpose::Preemption, 2);
/// looks += looks;
/// assert_eq!((looks.placement, looks.total()), (6, 10));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundLooks {
    /// For the order of the waiting steps.
    pub ordering: u64,
    /// For places for tasks.
    pub placement: u64,
    /// For room set aside for gangs.
    pub reservation: u64,
    /// For lesser work to be stopped.
    pub preemption: u64,
}

impl RoundLooks {
    /// Counts looks.
    pub fn note(&mut self, purpose: LookPurpose, looks: u64) {
        let counted = match purpose {
            LookPurpose::Ordering => &mut self.ordering,
            LookPurpose::Placement => &mut self.placement,
            LookPurpose::Reservation => &mut self.reservation,
            LookPurpose::Preemption => &mut self.preemption,
        };
        *counted += looks;
    }

    /// Looks for any purpose.
    pub fn total(&self) -> u64 {
        self.ordering + self.placement + self.reservation + self.preemption
    }
}

impl Sub for RoundLooks {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        RoundLooks {
            ordering: self.ordering - other.ordering,
            placement: self.placement - other.placement,
            reservation: self.reservation - other.reservation,
            preemption: self.preemption - other.preemption,
        }
    }
}

impl AddAssign for RoundLooks {
    fn add_assign(&mut self, other: Self) {
        self.ordering += other.ordering;
        self.placement += other.placement;
        self.reservation += other.reservation;
        self.preemption += other.preemption;
    }
}
