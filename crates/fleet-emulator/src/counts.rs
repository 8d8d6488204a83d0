use crate::prelude::*;

/// How far a run is, from what its stand-ins saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs sent for the first time or again.
    pub sent: u64,
    /// Answers that accept a job.
    pub accepted: u64,
    /// Answers that shed a job.
    pub shed: u64,
    /// Tasks begun.
    pub started: u64,
    /// Tasks ended, however.
    pub ended: u64,
}

impl Counts {
    /// Counts what all recorders saw.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// assert_eq!(Counts::of(&[vec![]]), Counts::default());
    /// ```
    pub fn of(all: &[Vec<RecordedObservation>]) -> Counts {
        let mut c = Counts::default();
        for o in all.iter().flatten() {
            match &o.observation {
                Observation::JobSent { .. } => c.sent += 1,
                Observation::JobAnswered { answer: Ok(_), .. } => c.accepted += 1,
                Observation::JobAnswered { answer: Err(CallError::Shed { .. }), .. } => c.shed += 1,
                Observation::RunStarted { .. } => c.started += 1,
                Observation::RunEnded { .. } | Observation::RunLost { .. } => c.ended += 1,
                _ => {}
            }
        }
        c
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let running = self.started.saturating_sub(self.ended);
        write!(f, "sent {} accepted {} shed {}; tasks started {} running {running}", self.sent, self.accepted, self.shed, self.started)
    }
}
