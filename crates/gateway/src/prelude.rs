//! Every name this crate's files use.

pub use std::collections::HashMap;
pub use std::future::{Future, IntoFuture};
pub use std::io;
pub use std::net::{IpAddr, SocketAddr};
pub use std::pin::Pin;
pub use std::str::FromStr;
pub use std::sync::Arc;
pub use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
pub use std::task::{Context as TaskContext, Poll};
pub use std::time::Duration;

pub use arc_swap::ArcSwap;
pub use bytes::Bytes;
pub use futures::{SinkExt, Stream, StreamExt};
pub use gateway_core::prelude::*;
pub use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
pub use metrics::{counter, gauge, histogram};
pub use process_plumbing::prelude::{
    ChannelInbox, ChannelSink, ChannelStream, Clock, DaemonSettings, HttpCaller, HttpOutcome, HttpPost, LogFormat, MAX_FRAME, MetricsPage,
    Millis, MonotonicClock, PlumbingError, SettingsSource, daemon_runtime, dial, init_logs, listen, parse_address, shutdown_signal,
};
pub use serde::de::DeserializeOwned;
pub use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
pub use tokio::net::{TcpListener, TcpStream};
pub use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
pub use tokio::time::timeout;
pub use viz::{Handler, IntoResponse, Listener, Request, RequestExt, Response, Router, StatusCode, async_trait, get, post};

pub use crate::ask_event::AskEvent;
pub use crate::ask_port::AskPort;
pub use crate::bounded_listener::{BoundedListener, BoundedStream};
pub use crate::call_handler::CallHandler;
pub use crate::call_input::CallInput;
pub use crate::channel_dialer::ChannelDialer;
pub use crate::core_loop::CoreLoop;
pub use crate::gateway_error::*;
pub use crate::gateway_ports::GatewayPorts;
pub use crate::gateway_process::GatewayProcess;
pub use crate::gateway_surface::{GatewaySurface, OwnSurface};
pub use crate::http_call::HttpCall;
pub use crate::live_view::LiveView;
pub use crate::loop_event::LoopEvent;
pub use crate::reply_page::{answer_page, error_page};
pub use crate::routes::routes;
pub use crate::worker_caller::WorkerCaller;
pub use crate::worker_protocol::{OwnWorkerProtocol, WorkerProtocol, WorkerRequest};
