//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::fmt;
pub use std::ops::RangeInclusive;
pub use std::str::FromStr;

pub use minicbor::{CborLen, Decode, Decoder, Encode, Encoder};
pub use serde::{Deserialize, Deserializer, Serialize, Serializer};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};

pub use crate::attempt_id::AttemptId;
pub use crate::call_body::{AnswerBody, CallBody, ControlCall};
pub use crate::call_error::{CallError, CallResult, Fault};
pub use crate::configuration_calls::*;
pub use crate::end_list::EndList;
pub use crate::gateway_frame::GatewayFrame;
pub use crate::job_calls::*;
pub use crate::job_spec::{JobSpec, Repeat, StepSpec};
pub use crate::member_calls::*;
pub use crate::payload::Payload;
pub use crate::scheduler_frame::SchedulerFrame;
pub use crate::task_id::{IdError, StepId, TaskId};
pub(crate) use crate::task_id::{TASK_PARTS, part, task_of};
pub use crate::view_update::*;
pub use crate::wire::{WIRE_VERSION, WireError, WireMessage};
pub use crate::worker_calls::*;
pub use crate::worker_facts::{AttemptCheckpoint, WorkerFacts};
pub use crate::worker_orders::*;

/// Milliseconds, of whichever clock the field's comment names.
pub type Millis = u64;
/// A job's number: its caller's own, or given once in the order of acceptance.
pub type JobNumber = u64;
/// A name of a node, worker, job, zone, region or queue.
pub type Name = String;

/// Whether a field holds what stands for its absence, so that it is left out.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
