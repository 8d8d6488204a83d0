//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::fmt::{self, Write as _};
pub use std::future::Future;
pub use std::io::{Read, Write};
pub use std::net::IpAddr;
pub use std::sync::Mutex;
pub use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
pub use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use bytes::Bytes;
pub use cluster_messages::*;
pub use declared_settings::prelude as tree;
pub use futures::future::{LocalBoxFuture, join_all};
pub use futures::join;
pub use getopts::{Matches, Options};
pub use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
pub use hyper_util::client::legacy::Client as HyperClient;
pub use hyper_util::client::legacy::connect::HttpConnector;
pub use hyper_util::rt::{TokioExecutor, TokioTimer};
pub use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use serde::de::DeserializeOwned;
pub use serde::{Deserialize, Serialize};
pub use serde_json::{Value, json};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};

pub use crate::client_error::ClientError;
pub use crate::clock::{Clock, TokioClock};
pub use crate::command_error::{CommandError, ExitCode};
pub use crate::commands::*;
pub use crate::dispatch::run_command;
pub use crate::doctor::diagnose;
pub use crate::doctor_limits::DoctorLimits;
pub use crate::evidence::{Evidence, GatewayEvidence};
pub use crate::finding::{Finding, Severity};
pub use crate::gateway_client::{Answered, GatewayClient};
pub use crate::http_answer::HttpAnswer;
pub use crate::http_call::{HttpCall, decode_answer, encode_call};
pub use crate::http_request::{HttpRequest, Method};
pub use crate::hyper_transport::HyperTransport;
pub use crate::metrics_page::MetricsPage;
pub use crate::retry_plan::{RetryPlan, RetryStep};
pub use crate::retry_settings::RetrySettings;
pub use crate::session::{CommandResult, Session};
pub use crate::subcommand::{COMMANDS, Subcommand};
pub use crate::text_table::TextTable;
pub use crate::transport::{Transport, TransportError};
pub use crate::try_error::TryError;

/// The client as the command line uses it.
pub type Client = GatewayClient<HyperTransport, TokioClock>;
