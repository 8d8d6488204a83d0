use crate::prelude::*;

/// What a leader remembers from one round of placement to the next. Nothing of it is in the log: a new leader begins anew,
/// since no start and no stop depends on it, only how long room stays idle and a task waits.
#[derive(Clone, Debug, Default)]
pub struct PlannerMemory {
    /// Steps whose urgent tasks wait for room near their data.
    pub rack_waits: RackWaits,
    /// Room set aside for gangs.
    pub reservations: GangReservations,
    /// Where rounds that were cut short go on.
    pub turns: RoundTurns,
}

impl PlannerMemory {
    /// What is set aside for the gangs of a job, in plain words.
    pub fn explain(&self, job: JobNumber, now: Millis) -> Vec<String> {
        let of_job = self.reservations.iter().filter(|(step, _)| step.job == job);
        let told = of_job.map(|(step, reservation)| {
            let seconds = reservation.ready_at.saturating_sub(now) as f64 / 1e3;
            let workers = reservation.members.len();
            format!("step {}: {workers} workers are set aside, expected to have room in {seconds:.1} s", step.step)
        });
        told.collect()
    }

    /// Takes over what a round came to.
    pub fn settle(&mut self, now: Millis, round: &PlannedRound, gang_time_budget_ms: Millis) {
        self.rack_waits.settle(now, &round.held, round.cut);
        self.turns = round.turns.clone();
        self.reservations.settle(now, &round.reservations, gang_time_budget_ms);
    }
}
