//! A replicated log with election, as a pure core.
//!
//! [`Replica::step`](replica::Replica::step) takes the monotonic time and one
//! [`Input`](input::Input) and hands back [`Effect`](effect::Effect)s. It owns no
//! thread, socket, clock or disk, so that a daemon and a deterministic simulator
//! can drive the very same code.

pub mod prelude;

pub mod append;
pub mod append_ack;
pub mod conflict_hint;
pub mod counters;
pub mod disk_log_storage;
pub mod effect;
pub mod hard_state;
pub mod ids;
pub mod input;
pub mod log_entry;
pub mod log_entry_body;
pub mod log_settings;
pub mod log_storage;
pub mod log_tail;
pub mod member_address;
pub mod membership;
pub mod membership_change;
pub mod membership_history;
pub mod memory_log_storage;
pub mod message;
pub mod message_body;
pub mod message_error;
pub mod outbox;
pub mod persist_request;
pub mod progress;
pub mod propose_error;
pub mod random_source;
pub mod reopening_storage;
pub mod replica;
mod replica_election;
mod replica_membership;
mod replica_replication;
mod replica_snapshot;
pub mod restored_state;
pub mod role;
pub mod role_chart;
pub mod role_event;
pub mod snapshot;
pub mod snapshot_chunk;
pub mod snapshot_transfer;
pub mod storage_error;
pub mod stored_record;
