//! Every name this crate's files use.

pub use std::alloc::{GlobalAlloc, Layout, System};
pub use std::cell::Cell;
pub use std::collections::BTreeMap;
pub use std::fmt;
pub use std::path::{Path, PathBuf};
pub use std::process::{Child, Command, Stdio};
pub use std::sync::atomic::{AtomicBool, Ordering};
pub use std::time::Duration;

pub use cluster_messages::prelude::{
    AnswerBody, AttemptId, CallBody, CallResult, ControlCall, GatewayFrame, HoldAnswer, HoldOrder, JobSpec, Millis, Name, Payload,
    PutConfiguration, RegisterWorker, SchedulerFrame, StartAnswer, StartOrder, StepSpec, StopAnswer, StopOrder, SubmitJob, WireMessage,
};
pub use gateway_core::{GatewayCore, GatewayEffect, GatewayInput, GatewaySettings, Reply};
pub use plotters::prelude::{BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, IntoFont, LineSeries, RED, SVGBackend, WHITE};
pub use replicated_log::prelude::{LogEntry, MessageBody, PersistRequest, RestoredState, StoredRecord};
pub use rustix::time::{ClockId, clock_gettime};
pub use scheduler_core::prelude::{PeerFrame, Scheduler, SchedulerEffect, SchedulerInput, SchedulerSettings};
pub use serde::{Serialize, Serializer};
pub use serde_json::{Map, Value, json};
pub use snafu::{ResultExt, Snafu};
pub use worker_stand_in::{Behaviour, WorkerAnswer, WorkerEffect, WorkerInput, WorkerModel};

pub use crate::capacity_error::CapacityError;
pub use crate::counting_allocator::CountingAllocator;
pub use crate::driver_event::{DriverEvent, Order};
pub use crate::fit::Fit;
pub use crate::fleet_driver::FleetDriver;
pub use crate::fleet_size::FleetSize;
pub use crate::gateway_seat::GatewaySeat;
pub use crate::http_headers::HttpHeaders;
pub use crate::process_probe::{ProcessFigures, ProcessProbe};
pub use crate::quantity::Quantity;
pub use crate::reading::Reading;
pub use crate::role::Role;
pub use crate::role_usage::RoleUsage;
pub use crate::scheduler_seat::SchedulerSeat;
pub use crate::slope::Slope;
pub use crate::slope_plot::SlopePlot;
pub use crate::slope_report::{SlopeReport, measure, read_least};
pub use crate::thread_time::thread_cpu_ns;
pub use crate::traffic::{Flow, Traffic};
pub use crate::variable::Variable;
pub use crate::worked_out::WorkedOut;
