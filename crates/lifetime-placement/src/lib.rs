//! Lifetime-aware placement: a band (class, state, time budget, residual tasks)
//! for each worker, a predictor of remaining lifetimes, and the ranking that
//! assigns a task to a worker.
//!
//! The crate is pure. It reads no clock, no disk and no source of chance:
//! log time is handed in, and the same events always give the same state.

pub mod prelude;

mod band_chart;
mod band_effect;
mod band_event;
mod fleet_bands;
mod fleet_shape;
mod inflation;
mod learned_distributions;
mod lifetime_class;
mod lifetime_histogram;
mod lifetime_predictor;
mod mistaken;
mod one_shot;
mod oracle;
mod placement_error;
mod placement_event;
mod placement_settings;
mod placement_strategy;
mod prediction;
mod rank_workers;
mod ranked_task;
mod replay;
mod replay_report;
mod room;
mod running_task;
mod task_features;
mod task_outcome;
mod task_to_place;
mod trace;
mod trace_arrival;
mod trace_kind;
mod units;
mod worker_band;
mod worker_band_state;
mod worker_slot;
mod worker_view;
