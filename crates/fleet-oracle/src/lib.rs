//! Judges a run from outside alone: what stand-in workers really ran, and what callers and operators were
//! really answered. It never asks a scheduler, and holds no clock: each observation comes with its true time.

pub mod prelude;

mod change_record;
mod configuration_watch;
mod figure_book;
mod figures;
mod gang_round;
mod job_record;
mod observation;
mod oracle;
mod oracle_bounds;
mod oracle_gangs;
mod oracle_jobs;
mod oracle_runs;
mod order_watch;
mod rule;
mod service_watch;
mod tally;
mod task_record;
mod verdict;
mod worker_record;

pub use prelude::*;
