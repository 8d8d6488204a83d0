//! Every name this crate's files use.

pub use std::collections::BTreeMap;
pub use std::net::{IpAddr, SocketAddr};
pub use std::path::PathBuf;
pub use std::sync::Arc;
pub use std::thread;
pub use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use arc_swap::ArcSwapOption;
pub use bytes::Bytes;
pub use cluster_messages::prelude::{
    AnswerBody, CallBody, CallError, CallResult, ControlCall, GatewayFrame, Millis, SchedulerFrame, StepId, WireMessage,
};
pub use futures::StreamExt;
pub use metrics::{counter, gauge};
pub use process_plumbing::prelude::{
    Channel, ChannelInbox, Clock, DaemonSettings, IncomingChannel, LogFormat, MetricsPage, MonotonicClock, PlumbingError, SettingsSource,
    daemon_runtime, dial, init_logs, listen, shutdown_signal,
};
pub use replicated_log::prelude::{DiskLogStorage, LogStorage, PersistRequest, ReopeningStorage, RestoredState, StorageError};
pub use scheduler_core::prelude::{
    ChannelId, Event, HaltReason, PlacementPolicies, Scheduler, SchedulerEffect, SchedulerInput, SchedulerSettings, StateError,
    UnknownPolicy,
};
pub use snafu::{OptionExt, ResultExt, Snafu};
pub use tokio::sync::{mpsc, oneshot};
pub use tokio::time::timeout;
pub use tracing::{Level, debug, enabled, error, info, warn};
pub use viz::{Request as VizRequest, Response as VizResponse, ResponseExt, Router, serve};

pub use crate::control_port::{ControlCallEvent, ControlPort, ControlSurface, OwnPages};
pub use crate::daemon::Daemon;
pub use crate::daemon_error::DaemonError;
pub use crate::disk_writer::DiskWriter;
pub(crate) use crate::disk_writer::FULL_RETRY;
pub use crate::event_trace::EventTrace;
pub use crate::gateway_doors::{GatewayDoors, Incoming, Inlets, read};
pub use crate::inlet_turns::{Inlet, InletTurns};
pub use crate::peer_links::PeerLinks;
pub use crate::read_progress::ReadProgress;
