//! Stand-in workers for fleets and simulators: [`WorkerModel`] is a worker without sockets and clocks;
//! [`StandInProcess`] serves many of them over HTTP from one process, and tells what they really ran.

pub mod prelude;

mod behaviour;
mod control_server;
mod reach;
mod recorder;
mod registration;
mod run;
mod run_lease;
mod stand_in_error;
mod stand_in_options;
mod stand_in_process;
mod task_payload;
mod true_clock;
mod waiting_hold;
mod worker_effect;
mod worker_host;
mod worker_identity;
mod worker_input;
mod worker_model;
mod worker_model_leased;
mod worker_model_orders;
mod worker_server;

pub use prelude::*;
