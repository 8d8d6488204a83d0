//! Lays out and runs a whole deployment of real daemons on loopback addresses.
//!
//! Every channel between processes runs through the fleet's own relays, so that a link can be
//! cut, made one-way, slowed or reset; processes are killed, frozen and restarted by id.
//! Stand-in workers and callers tell what they really saw, and the outside oracle judges that.

pub mod prelude;

mod child_process;
mod compare;
mod configuration_probe;
mod counts;
mod daemon_figures;
mod daemons;
mod deployment;
mod disturbances;
mod fault_event;
mod fault_executor;
mod fault_schedule;
mod fleet_command;
mod fleet_error;
mod fleet_run;
mod judge;
mod latency_line;
mod layout;
mod link;
mod link_effect;
mod link_table;
mod node;
mod observer;
mod open_connections;
mod order_desk;
mod process_usage;
mod pump;
mod reachability;
mod relay;
mod report;
mod say;
mod scenario;
mod soak_schedule;
mod stand_in_control;
mod stand_in_processes;
mod stand_ins;
mod traffic;
mod true_order;
mod true_time;
mod whom;

pub use prelude::*;
