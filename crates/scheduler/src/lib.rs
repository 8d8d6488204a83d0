//! The scheduler daemon: an executor around `scheduler-core`. All decisions are the core's.

pub mod prelude;

mod control_port;
mod daemon;
mod daemon_error;
mod disk_writer;
mod event_trace;
mod gateway_doors;
mod inlet_turns;
mod peer_links;
mod read_progress;

pub use prelude::*;
