//! The scheduler without I/O: no async, sockets, clocks or disks. Everything is a function of state, input and time.

pub mod prelude;

mod attempt;
mod batch_in_log;
mod call_decision;
pub mod call_error;
mod cluster_rules;
mod cluster_state;
mod command;
mod event;
mod explain;
mod flush_progress;
mod fold;
mod fold_attempts;
mod gateway_session;
mod halt_reason;
mod held_frame;
mod job;
mod journal;
mod ledger;
mod ledger_copies;
mod ledger_ends;
mod ledger_jobs;
mod ledger_workers;
mod peer_frame;
mod planning;
mod queries;
mod queue_gauges;
mod queued_command;
mod ready_index;
mod scheduler;
mod scheduler_input;
mod scheduler_members;
mod scheduler_rounds;
mod scheduler_sessions;
mod scheduler_settings;
mod steady_clock;
mod tables;
mod task_state;
mod urgent_news;
mod view_builder;
mod worker_health;
mod worker_pace;
mod worker_record;

pub use prelude::*;
