//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use std::net::{IpAddr, SocketAddr};
pub use std::sync::{Arc, Mutex, MutexGuard};
pub use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use cluster_messages::*;
pub use declared_settings::SettingsTree;
pub use firlock_client::{GatewayClient, HyperTransport, RetryPlan, RetrySettings, RetryStep, TokioClock, TransportError, TryError};
pub use fleet_oracle::{Observation, RecordedObservation};
pub use getopts::{Matches, Options};
pub use rand::seq::IndexedRandom;
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use serde::{Deserialize, Serialize};
pub use serde_json::{Map, Value, json};
pub use snafu::{ResultExt, Snafu, ensure};
pub use std::future::IntoFuture;
pub use tokio::net::TcpListener;
pub use tokio::sync::mpsc;
pub use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Router, StatusCode, serve};

pub use crate::caller_effect::CallerEffect;
pub use crate::caller_figures::CallerFigures;
pub use crate::caller_input::CallerInput;
pub use crate::caller_job::CallerJob;
pub use crate::caller_model::CallerModel;
pub use crate::caller_settings::CallerSettings;
pub use crate::control_page::control_pages;
pub use crate::courier::{Courier, Ending, Sending};
pub use crate::deployment_tree::{Regions, deployment_tree};
pub use crate::job_stream::{JobStream, Span};
pub(crate) use crate::job_stream::{LARGEST_GANG, state_members, within};
pub use crate::model::Model;
pub use crate::observation_log::ObservationLog;
pub use crate::observing::{observe_answer, observe_sent};
pub use crate::operator_model::OperatorModel;
pub use crate::operator_settings::OperatorSettings;
pub(crate) use crate::operator_tree::OperatorTree;
pub use crate::profile::Profile;
pub use crate::run::{RunHandle, RunSettings, run};
pub use crate::run_command::*;
pub use crate::timers::Timers;
