//! Stand-in callers and operators: seeded load, resends, polls and orders, with a record of every answer.
//!
//! [`CallerModel`] and [`OperatorModel`] are pure: they are given the time and what came back, and yield what to
//! send. The simulator and [`run`] drive the same models.

pub mod prelude;

mod caller_effect;
mod caller_figures;
mod caller_input;
mod caller_job;
mod caller_model;
mod caller_settings;
mod control_page;
mod courier;
mod deployment_tree;
mod job_stream;
mod model;
mod observation_log;
mod observing;
mod operator_model;
mod operator_settings;
mod operator_tree;
mod profile;
mod run;
mod run_command;
mod timers;

pub use prelude::{
    CallerEffect, CallerFigures, CallerInput, CallerModel, CallerSettings, Courier, Ending, JobStream, Model, ObservationLog,
    OperatorModel, OperatorSettings, Profile, Regions, RunCommand, RunError, RunHandle, RunSettings, Sending, control_pages,
    deployment_tree, run,
};
