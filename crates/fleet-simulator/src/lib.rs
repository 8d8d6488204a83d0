//! The whole fleet on one thread in simulated time, from a seed: the daemons' own cores, stand-in workers, callers and
//! operators, a network that loses, delays, doubles and cuts, disks that tear, and clocks that jump.

pub mod prelude;

mod agenda;
mod fault;
mod fault_plan;
mod gang_table;
mod machine;
mod network;
mod occurrence;
mod plant;
mod scenario;
mod scenario_list;
mod scheduler_backlog;
mod simulation;
mod simulation_faults;
mod simulation_gangs;
mod simulation_gateways;
mod simulation_outcome;
mod simulation_schedulers;
mod simulation_settings;
mod simulation_steps;
mod simulation_workers;
mod step_cost;
mod worst_figures;

pub use prelude::*;
