//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
pub use std::future::{Future, IntoFuture, pending};
pub use std::net::SocketAddr;
pub use std::sync::atomic::{AtomicUsize, Ordering};
pub use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
pub use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use bytes::Bytes;
pub use cluster_messages::{
    AttemptId, CallError, DrainWorker, EndList, EndedAttempt, Fault, HoldAnswer, HoldOrder, Millis, Name, Outcome, Payload, RegisterWorker,
    StartAnswer, StartOrder, StartResult, StopAnswer, StopOrder, StopResult, TaskId, WorkerDrained,
};
pub use fleet_oracle::{JobAccepted, JobSpec, JobState, Observation, Oracle, OracleBounds, RecordedObservation, Rule, Verdict};
pub use futures::FutureExt;
pub use getopts::Options;
pub use process_plumbing::{Clock, HttpCaller, HttpOutcome, HttpPost, shutdown_signal};
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use serde::de::DeserializeOwned;
pub use serde::{Deserialize, Serialize};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};
pub use state_chart::Chart;
pub use tokio::net::TcpListener;
pub use tokio::sync::{Notify, oneshot};
pub use tokio::task::JoinSet;
pub use viz::{IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Router, StatusCode};

pub use crate::behaviour::Behaviour;
pub(crate) use crate::control_server::control_routes;
pub use crate::reach::{Reach, ReachEvent, reach_chart};
pub use crate::recorder::Recorder;
pub(crate) use crate::registration::Registration;
pub(crate) use crate::run::{Phase, Run, StartTerms};
pub use crate::run_lease::RunLease;
pub use crate::stand_in_error::*;
pub use crate::stand_in_options::{StandInCommand, StandInOptions};
pub use crate::stand_in_process::StandInProcess;
pub use crate::task_payload::TaskPayload;
pub use crate::true_clock::TrueClock;
pub(crate) use crate::waiting_hold::WaitingHold;
pub use crate::worker_effect::{GangMember, WorkerAnswer, WorkerEffect};
pub use crate::worker_host::WorkerHost;
pub use crate::worker_identity::WorkerIdentity;
pub use crate::worker_input::{Token, WorkerInput};
pub use crate::worker_model::WorkerModel;
pub(crate) use crate::worker_server::{invalid, json_body, json_response, whole, worker_routes};
