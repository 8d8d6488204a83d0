//! Every name this crate's files use.

pub use std::cmp::Reverse;
pub use std::collections::btree_map::Entry;
pub use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use std::hash::{DefaultHasher, Hash, Hasher};
pub use std::sync::{Arc, LazyLock};

pub use cluster_messages::prelude::*;
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use serde::Deserialize;
pub use serde_json::Value;
pub use sha2::{Digest as _, Sha256};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};
pub use state_chart::Chart;

pub use crate::ask_book::AskBook;
pub use crate::ask_rank::AskRank;
pub use crate::attempt_lists::{AttemptLists, Listing};
pub use crate::attempt_watch::{AttemptWatch, Expectation};
pub use crate::backoff::backoff;
pub use crate::boot_standing::BootStanding;
pub use crate::configuration_view::{ConfigurationView, PatchError, tree_digest};
pub use crate::end_sequence::EndSequence;
pub use crate::fact_book::{FactBook, FactSource};
pub use crate::fact_line::FactLine;
pub use crate::gang_watch::GangWatch;
pub use crate::gateway_core::GatewayCore;
pub use crate::gateway_counters::GatewayCounters;
pub use crate::gateway_effect::GatewayEffect;
pub use crate::gateway_input::GatewayInput;
pub use crate::gateway_settings::GatewaySettings;
pub use crate::gateway_view::GatewayView;
pub use crate::ingress_table::{IngressRule, IngressTable};
pub use crate::job_table::JobTable;
pub use crate::order_gate::OrderGate;
pub use crate::order_state::{OrderEvent, OrderState};
pub use crate::pending_ask::PendingAsk;
pub use crate::reply::Reply;
pub use crate::retry_budget::RetryBudget;
pub use crate::session::Session;
pub use crate::session_state::{SessionEvent, SessionState};
pub use crate::start_book::{Passage, StartBook, StartGate};
pub use crate::start_record::StartRecord;
pub use crate::stop_book::StopBook;
pub use crate::time_bound::TimeBound;
pub use crate::whole_view::WholeView;
pub use crate::worker_hold::{BootNews, HoldPermit, WorkerHold};
pub use crate::worker_lease::WorkerLease;
pub use crate::worker_share::WorkerShare;

/// A channel's number, given by the executor and never used again.
pub type ChannelId = u64;
