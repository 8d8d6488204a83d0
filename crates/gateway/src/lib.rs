//! The gateway daemon: an executor around `gateway-core`. All decisions are the core's.

pub mod prelude;

mod ask_event;
mod ask_port;
mod bounded_listener;
mod call_handler;
mod call_input;
mod channel_dialer;
mod configuration_http;
mod core_loop;
mod gateway_error;
mod gateway_ports;
mod gateway_process;
mod gateway_surface;
mod http_call;
mod job_http;
mod live_view;
mod loop_event;
mod member_http;
mod reply_page;
mod routes;
mod worker_caller;
mod worker_http;
mod worker_protocol;

pub use prelude::*;
