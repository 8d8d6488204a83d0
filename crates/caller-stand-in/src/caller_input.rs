use crate::prelude::*;

/// What reaches a model.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerInput {
    /// Only time passed.
    Tick,
    /// A try was answered; late answers are welcome too.
    Answered {
        /// The try.
        ticket: u64,
        /// The answer.
        result: CallResult<AnswerBody>,
    },
    /// A try's channel broke, or nothing usable came back.
    Lost {
        /// The try.
        ticket: u64,
    },
    /// From now on, this many times the profile's rate; 0 stops new jobs.
    Rate(f64),
    /// So many jobs of one stream at once, each step with so many times the tasks.
    Burst {
        /// First part of the stream's job names.
        stream: String,
        /// How many.
        jobs: u32,
        /// Times the tasks.
        times_tasks: u32,
    },
    /// Cancel this share of the remembered jobs, by chance, at once.
    CancelSome(f64),
    /// Read everything remembered once more, as at the end of a run.
    ReadAgain,
}
