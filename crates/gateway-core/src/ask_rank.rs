use crate::prelude::*;

/// How much of the inbox a call may use, in hundredths: what is urgent finds room that the rest left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskRank(pub u8);

/// Reads that the view could not answer.
const READ: u8 = 50;
/// A job of urgency 0; each step of urgency adds to it.
const LEAST_JOB: u8 = 50;
/// What each step of urgency adds: urgency 9 ends at 95.
const URGENCY_STEP: u8 = 5;
/// Urgency assumed where a job names none.
const USUAL_URGENCY: u8 = 4;
/// Cancellations: a mass of them leaves room for urgent jobs.
const CANCEL: u8 = 75;
/// Workers that make themselves known.
const WORKER: u8 = 90;
/// Operators: the last hundredths are theirs alone.
const OPERATOR: u8 = 100;

impl AskRank {
    /// The rank of a call.
    ///
    /// ```
    /// use gateway_core::prelude::*;
    /// let drain = DrainWorker { name: "w".into(), on: true, order_id: None, ..DrainWorker::default() }.into_body();
    /// assert!(AskRank::of(&drain) > AskRank::of(&GetJob { name: "j".into() }.into_body()));
    /// ```
    pub fn of(body: &CallBody) -> Self {
        AskRank(match body {
            CallBody::SubmitJob(s) => LEAST_JOB + URGENCY_STEP * s.spec.urgency.unwrap_or(USUAL_URGENCY).min(9),
            CallBody::CancelJob(_) => CANCEL,
            CallBody::GetJob(_) | CallBody::ListJobs(_) | CallBody::ExplainJob(_) | CallBody::ListWorkers(_) => READ,
            CallBody::RegisterWorker(_) => WORKER,
            _ => OPERATOR,
        })
    }

    /// How many asks may wait before one of this rank is shed.
    pub fn limit(self, inbox: usize) -> usize {
        (inbox * usize::from(self.0)).div_ceil(100)
    }
}
