//! Typed client of firlock's gateways, and the commands of the `firlock` tool.
//!
//! The rules of retrying ([`RetryPlan`]) and of the doctor ([`diagnose`]) are pure functions of what they are
//! given; sockets and clocks sit behind [`Transport`] and [`Clock`].

pub mod prelude;

mod client_error;
mod clock;
mod command_error;
mod commands;
mod dispatch;
mod doctor;
mod doctor_limits;
mod evidence;
mod finding;
mod gateway_client;
mod http_answer;
mod http_call;
mod http_request;
mod hyper_transport;
mod metrics_page;
mod retry_plan;
mod retry_settings;
mod session;
mod subcommand;
mod text_table;
mod transport;
mod try_error;

pub use prelude::{
    Answered, COMMANDS, Client, ClientError, Clock, CommandError, DoctorLimits, Evidence, ExitCode, Finding, GatewayClient,
    GatewayEvidence, HttpAnswer, HttpCall, HttpRequest, HyperTransport, Method, MetricsPage, RetryPlan, RetrySettings, RetryStep, Severity,
    Subcommand, TokioClock, Transport, TransportError, TryError, decode_answer, diagnose, encode_call, run_command,
};
