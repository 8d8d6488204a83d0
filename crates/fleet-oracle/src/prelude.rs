//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

pub use cluster_messages::{
    AttemptId, CallError, CallResult, ConfigurationAccepted, JobAccepted, JobNumber, JobSpec, JobState, Millis, Name, Outcome, Payload,
    StepSpec,
};
pub use hdrhistogram::Histogram;
pub use serde::{Deserialize, Serialize};

pub(crate) use crate::change_record::ChangeRecord;
pub(crate) use crate::configuration_watch::ConfigurationWatch;
pub(crate) use crate::figure_book::FigureBook;
pub use crate::figures::{Figures, LatencyFigure};
pub(crate) use crate::gang_round::GangRound;
pub(crate) use crate::job_record::JobRecord;
pub use crate::observation::{Observation, QueueKinds, RecordedObservation};
pub use crate::oracle::Oracle;
pub use crate::oracle_bounds::OracleBounds;
pub(crate) use crate::oracle_runs::Start;
pub(crate) use crate::order_watch::OrderWatch;
pub use crate::rule::Rule;
pub(crate) use crate::service_watch::ServiceWatch;
pub(crate) use crate::tally::Tally;
pub(crate) use crate::task_record::{OpenRun, TaskRecord};
pub use crate::verdict::{Verdict, Violation};
pub(crate) use crate::worker_record::WorkerRecord;
