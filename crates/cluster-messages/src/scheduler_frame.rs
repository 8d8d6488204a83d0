use crate::prelude::*;

/// From a scheduler to a gateway.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum SchedulerFrame {
    /// Answer to an attach by the elected scheduler.
    #[n(0)]
    Attached {
        /// The scheduler's id.
        #[n(0)]
        node: u64,
        /// Its term.
        #[n(1)]
        term: u64,
        /// Cluster time.
        #[n(2)]
        log_time_ms: Millis,
        /// All schedulers' addresses.
        #[n(3)]
        schedulers: Vec<String>,
    },
    /// This one isn't elected (any more): attach elsewhere.
    #[n(1)]
    NotLeader {
        /// The elected one's address, where known.
        #[n(0)]
        leader: Option<String>,
        /// All schedulers' addresses.
        #[n(1)]
        schedulers: Vec<String>,
    },
    /// Echo of a pulse, sent only under a valid lease.
    #[n(2)]
    PulseEcho {
        /// The pulse's stamp.
        #[n(0)]
        stamp: u64,
        /// Cluster time.
        #[n(1)]
        log_time_ms: Millis,
    },
    /// Answers an ask.
    #[n(3)]
    Answer {
        /// The ask's number.
        #[n(0)]
        request: u64,
        /// The answer.
        #[n(1)]
        result: Result<AnswerBody, CallError>,
    },
    /// News.
    #[n(4)]
    Update(#[n(0)] ViewUpdate),
    /// All reports up to this one are in the log.
    #[n(5)]
    FactsDone {
        /// The report.
        #[n(0)]
        report: u64,
    },
    /// The frame or the attach could not be used.
    #[n(6)]
    Shed(#[n(0)] CallError),
}
