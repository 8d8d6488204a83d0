//! Every decision of a gateway: a function of state, input and now that yields effects.
//!
//! No async, sockets, clocks, disks or randomness of the system: the daemon and the simulator drive the same core.

pub mod prelude;

mod ask_book;
mod ask_rank;
mod attempt_lists;
mod attempt_watch;
mod backoff;
mod boot_standing;
mod configuration_view;
mod end_sequence;
mod fact_book;
mod fact_line;
mod gang_watch;
mod gateway_core;
mod gateway_core_session;
mod gateway_core_workers;
mod gateway_counters;
mod gateway_effect;
mod gateway_input;
mod gateway_settings;
mod gateway_view;
mod ingress_table;
mod job_table;
mod order_gate;
mod order_state;
mod pending_ask;
mod reply;
mod retry_budget;
mod session;
mod session_state;
mod start_book;
mod start_record;
mod stop_book;
mod time_bound;
mod whole_view;
mod worker_hold;
mod worker_lease;
mod worker_share;

pub use prelude::*;
