//! What the subcommands do.

mod cluster_commands;
mod configuration_commands;
mod doctor_command;
mod job_commands;
mod worker_commands;

pub use cluster_commands::{cluster, gateways, members, queues};
pub use configuration_commands::config;
pub use doctor_command::doctor;
pub use job_commands::{cancel, list, status, submit, watch, why};
pub use worker_commands::{drain, evacuate, remove, workers};
