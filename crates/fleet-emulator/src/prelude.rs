//! Every name this crate's files use.

pub use std::cmp::Reverse;
pub use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
pub use std::fmt;
pub use std::fs;
pub use std::io::{self, Write};
pub use std::net::{IpAddr, Ipv4Addr, SocketAddr};
pub use std::path::{Path, PathBuf};
pub use std::pin::pin;
pub use std::process::{Child, Command, ExitCode, Stdio};
pub use std::str::FromStr;
pub use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
pub use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use bytes::Bytes;
pub use cluster_messages::{
    AnswerBody, AttemptId, CallBody, CallError, CallResult, CancelJob, ClusterStatus, ControlCall, DrainWorker, EvacuateZone, Fault,
    GetClusterStatus, GetConfiguration, GetEffectiveSettings, GetJob, JobSpec, ListWorkers, Millis, Name, Outcome, Payload,
    PutConfiguration, StepSpec,
};
pub use firlock_client::{ClientError, GatewayClient, HttpRequest, HyperTransport, Method, RetrySettings, TokioClock, Transport, TryError};
pub use fleet_oracle::{LatencyFigure, Observation, Oracle, OracleBounds, RecordedObservation, Rule, Verdict};
pub use futures::StreamExt;
pub use futures::future::{FutureExt, join_all};
pub use getopts::Options;
pub use rand::seq::SliceRandom;
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use rustix::process::{Pid, Signal, kill_process};
pub use serde::de::DeserializeOwned;
pub use serde::{Deserialize, Serialize};
pub use serde_json::{Map, Value, json};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};
pub use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
pub use tokio::net::{TcpListener, TcpStream};
pub use tokio::signal::unix::{SignalKind, signal};
pub use tokio::sync::watch;
pub use tokio::time::Instant;
pub use worker_stand_in::Behaviour;

pub use crate::child_process::ChildProcess;
pub use crate::compare::{Comparison, Spread, compare};
pub use crate::configuration_probe::ConfigurationProbe;
pub use crate::counts::Counts;
pub use crate::daemon_figures::DaemonFigures;
pub use crate::daemons::Daemons;
pub use crate::deployment::{Deployment, WorkerKind};
pub use crate::disturbances::Disturbances;
pub use crate::fault_event::{FaultEvent, FaultKind};
pub use crate::fault_executor::{FaultExecutor, Undo};
pub use crate::fault_schedule::FaultSchedule;
pub use crate::fleet_command::{EXIT_BROKEN, EXIT_NOT_STARTED, EXIT_USAGE, FleetCommand, RunOptions};
pub use crate::fleet_error::*;
pub use crate::fleet_run::{DAEMON_ENDED, FleetRun, REQUEST_CUT, first_tree};
pub use crate::judge::judge;
pub use crate::latency_line::LatencyLine;
pub use crate::layout::Layout;
pub use crate::link::Link;
pub use crate::link_effect::LinkEffect;
pub use crate::link_table::{LinkTable, RuleId};
pub use crate::node::{Node, NodeId, Role, TrafficClass};
pub use crate::observer::Observer;
pub use crate::open_connections::{OpenConnections, RequestEnd};
pub use crate::order_desk::OrderDesk;
pub use crate::process_usage::ProcessUsage;
pub use crate::pump::pump;
pub use crate::reachability::reachable_workers;
pub use crate::relay::Relay;
pub use crate::report::{Latencies, Report};
pub use crate::say::say;
pub use crate::scenario::Scenario;
pub use crate::soak_schedule::soak_schedule;
pub use crate::stand_in_control::{StandInControl, read_page};
pub use crate::stand_in_processes::{LoadOptions, StandInProcesses};
pub use crate::stand_ins::StandIns;
pub use crate::traffic::TrafficSnapshot;
pub use crate::true_order::{Seen, true_order};
pub use crate::true_time::true_now;
pub use crate::whom::{Whom, WhomError};

/// Locks, also when another thread panicked while it held the lock: plain data stays usable.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
