//! The one import of every other file in this crate.

pub use std::cmp::Reverse;
pub use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
pub use std::fmt;

pub use minicbor::{Decode, Encode};
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use serde::{Deserialize, Serialize};
pub use sha2::{Digest, Sha256};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};

pub use crate::band_chart::BandChart;
pub use crate::band_effect::BandEffect;
pub use crate::band_event::BandEvent;
pub use crate::fleet_bands::FleetBands;
pub use crate::fleet_shape::FleetShape;
pub use crate::inflation::Inflation;
pub use crate::learned_distributions::LearnedDistributions;
pub use crate::lifetime_class::LifetimeClass;
pub use crate::lifetime_histogram::LifetimeHistogram;
pub use crate::lifetime_predictor::LifetimePredictor;
pub use crate::mistaken::Mistaken;
pub use crate::one_shot::OneShot;
pub use crate::oracle::Oracle;
pub use crate::placement_error::{MalformedStateSnafu, PlacementError, TaskAlreadyPlacedSnafu, UnknownTaskSnafu, UnknownWorkerSnafu};
pub use crate::placement_event::PlacementEvent;
pub use crate::placement_settings::PlacementSettings;
pub use crate::placement_strategy::PlacementStrategy;
pub use crate::prediction::Prediction;
pub use crate::rank_workers::{RankWorkers, Score};
pub use crate::ranked_task::RankedTask;
pub use crate::replay::Replay;
pub use crate::replay_report::ReplayReport;
pub use crate::room::Room;
pub use crate::running_task::RunningTask;
pub use crate::task_features::TaskFeatures;
pub use crate::task_outcome::TaskOutcome;
pub use crate::task_to_place::TaskToPlace;
pub use crate::trace::Trace;
pub use crate::trace_arrival::TraceArrival;
pub use crate::trace_kind::{Mode, TraceKind};
pub use crate::units::{FOREVER, Millis, StateDigest, TaskKey, WorkerIndex};
pub use crate::worker_band::WorkerBand;
pub use crate::worker_band_state::WorkerBandState;
pub use crate::worker_slot::WorkerSlot;
pub use crate::worker_view::WorkerView;
