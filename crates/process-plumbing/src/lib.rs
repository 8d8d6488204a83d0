//! What every firlock daemon needs around its core: settings, logs, metrics, clock, channels, HTTP client, shutdown.

pub mod prelude;

mod abrupt_connector;
mod channel;
mod channel_inbox;
mod channel_listener;
mod clock;
mod daemon_runtime;
mod guarded_body;
mod http_caller;
mod http_outcome;
mod log_setup;
mod metrics_page;
mod monotonic_clock;
mod plumbing_error;
mod process_statistics;
mod send_permit;
mod settings_command;
mod settings_source;
mod shutdown;

pub use prelude::*;
