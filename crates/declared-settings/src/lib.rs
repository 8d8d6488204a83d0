//! Settings declared once, by one macro, and the operators' tree built from them.
//!
//! * [`declare_settings!`](crate::declare_settings) turns one declaration per
//!   setting (name, type, default, check, unit, help) into a typed struct that
//!   reads JSON and the command line and reports every fault with its path.
//! * [`SettingsTree`] is the operators' tree: fleet,
//!   regions, zones and queues, each level passing its settings down.
//! * [`ConfigurationHistory`] gives the tree
//!   versions: of two racing changes one wins, and a resent change gets the
//!   acknowledgement it got before.
//!
//! The crate is pure: no clocks, sockets, disks, threads or random numbers.

pub mod prelude;

mod configuration_history;
mod configuration_settings;
mod daemon_settings;
mod declare_settings;
mod declared_settings;
mod effective_queue;
mod effective_tree;
mod fault_list;
mod history_entry;
mod history_snapshot;
mod level_overrides;
mod patch_fault;
mod planned_change;
mod put_error;
mod put_outcome;
mod queue_settings;
mod raw_object;
mod region_node;
mod setting_check;
mod setting_description;
mod setting_fault;
mod setting_faults;
mod setting_level;
mod setting_problem;
mod setting_type;
mod settings_page;
mod settings_tree;
mod snapshot_error;
mod tree_change;
mod tree_diff;
mod tree_digest;
mod tree_parser;
mod tree_part;
mod tree_patch;
mod zone_node;

pub use prelude::*;
