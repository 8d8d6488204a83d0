use crate::prelude::*;

/// A call that knows the type of its answer: one generic handler serves them all.
///
/// ```
/// use cluster_messages::{AnswerBody, CancelJob, ControlCall, JobCancelled, JobState};
/// let body = CancelJob { name: "hold-7".into() }.into_body();
/// assert_eq!(body.name(), "CancelJob");
/// let answer = JobCancelled { name: "hold-7".into(), state: JobState::Cancelled };
/// assert_eq!(CancelJob::answer_of(AnswerBody::CancelJob(answer.clone())), Some(answer));
/// ```
pub trait ControlCall: Sized {
    /// What it is answered with.
    type Answer: Serialize;
    /// Wraps it for the way to the scheduler.
    fn into_body(self) -> CallBody;
    /// Unwraps its answer; `None` if it answers another call.
    fn answer_of(body: AnswerBody) -> Option<Self::Answer>;
}

/// Declares which call is answered by what.
macro_rules! call_pairs {
    ($($n:literal $call:ident => $answer:ident, $changes:literal;)+) => {
        /// Any call.
        #[derive(Clone, Debug, PartialEq, Encode, Decode)]
        pub enum CallBody { $(
            #[doc = concat!("See [`", stringify!($call), "`].")]
            #[n($n)] $call(#[n(0)] $call),
        )+ }

        /// Any answer.
        #[derive(Clone, Debug, PartialEq, Encode, Decode)]
        pub enum AnswerBody { $(
            #[doc = concat!("Answers [`", stringify!($call), "`].")]
            #[n($n)] $call(#[n(0)] $answer),
        )+ }

        impl CallBody {
            /// The call's name.
            pub fn name(&self) -> &'static str {
                match self { $( CallBody::$call(_) => stringify!($call), )+ }
            }

            /// Whether it changes state, so that only the log can answer it.
            pub fn changes_state(&self) -> bool {
                match self { $( CallBody::$call(_) => $changes, )+ }
            }
        }

        $( impl ControlCall for $call {
            type Answer = $answer;

            fn into_body(self) -> CallBody {
                CallBody::$call(self)
            }

            fn answer_of(body: AnswerBody) -> Option<$answer> {
                match body { AnswerBody::$call(a) => Some(a), _ => None }
            }
        } )+
    };
}

call_pairs! {
    0 SubmitJob => JobAccepted, true;
    1 CancelJob => JobCancelled, true;
    2 GetJob => JobStatus, false;
    3 ListJobs => JobList, false;
    4 ExplainJob => JobExplanation, false;
    5 RegisterWorker => WorkerRegistered, true;
    6 DrainWorker => WorkerDrained, true;
    7 RemoveWorker => WorkerRemoved, true;
    8 ListWorkers => WorkerList, false;
    9 EvacuateZone => ZoneEvacuated, true;
    10 GetConfiguration => Configuration, false;
    11 PutConfiguration => ConfigurationAccepted, true;
    12 GetConfigurationHistory => ConfigurationHistoryList, false;
    13 GetEffectiveSettings => EffectiveSettings, false;
    14 ListQueues => QueueList, false;
    15 ListMembers => MemberList, false;
    16 RemoveMember => MemberChanged, true;
    17 TransferLeadership => MemberChanged, true;
    18 GetClusterStatus => ClusterStatus, false;
}
