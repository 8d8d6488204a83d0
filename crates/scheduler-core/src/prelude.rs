//! Every name this crate's files use.

pub use std::borrow::Borrow;
pub use std::cell::{Cell, OnceCell};
pub use std::cmp::{Ordering, Reverse};
pub use std::collections::btree_map;
pub use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet, VecDeque};
pub use std::fmt;
pub use std::iter::Peekable;
pub use std::ops::{AddAssign, Bound, RangeInclusive, Sub};
pub use std::rc::Rc;
pub use std::sync::{Arc, LazyLock};

pub use cluster_messages::prelude::{
    AnswerBody, AttemptCheckpoint, AttemptId, BandSummary, CallBody, CallError, CallResult, CancelJob, ClusterStatus, Configuration,
    ConfigurationAccepted, ConfigurationChange, ConfigurationHistoryList, ConfigurationUpdate, ControlCall, DrainWorker, EffectiveSettings,
    EffectiveValue, EndedAttempt, EvacuateZone, Fault, GatewayFrame, GatewaySummary, GetEffectiveSettings, JobAccepted, JobCancelled,
    JobChange, JobExplanation, JobList, JobNumber, JobSpec, JobState, JobStatus, JobSummary, ListJobs, ListWorkers, MemberChanged,
    MemberList, MemberSummary, Millis, Name, Outcome, Payload, PutConfiguration, QueueList, QueueUse, RegisterWorker, RemoveWorker, Repeat,
    SchedulerFrame, StartOrder, StepId, StepSpec, StepStatus, StopOrder, TaskCounts, TaskId, ViewUpdate, WIRE_VERSION, WireError,
    WireMessage, WorkerDrained, WorkerFacts, WorkerList, WorkerRegistered, WorkerRemoved, WorkerSummary, ZoneEvacuated,
};
pub use declared_settings::prelude::{
    ConfigurationHistory, ConfigurationSettings, EffectiveQueue, EffectiveTree, HistoryEntry, Patch, PutError, QueueSettings, SettingsTree,
    SnapshotError, apply_patch_within, patch_text,
};
pub use lifetime_placement::prelude::{
    FOREVER, FleetBands, LearnedDistributions, PlacementError, PlacementSettings, PlacementStrategy, RankedTask, Room, Score, TaskFeatures,
    TaskOutcome, TaskToPlace, WorkerBand, WorkerBandState, WorkerIndex, WorkerView,
};
pub use minicbor::{Decode, Encode};
pub use replicated_log::prelude::{
    ChaCha8Rng, Effect, Input, LogEntry, LogEntryBody, LogSettings, MemberAddress, Membership, MembershipChange, PersistRequest,
    ProposeError, Replica, RestoredState, SeedableRng, Snapshot,
};
pub use serde::Deserialize;
pub use sha2::{Digest, Sha256};
pub use snafu::{OptionExt, ResultExt, Snafu, ensure};
pub use state_chart::Chart;

pub use crate::attempt::{Attempt, StopReason};
pub use crate::batch_in_log::BatchInLog;
pub use crate::call_decision::CallDecision;
pub use crate::call_error;
pub use crate::cluster_rules::{ClusterRules, NEWEST_FOLD_VERSION};
pub(crate) use crate::cluster_state::room_of;
pub use crate::cluster_state::{Bands, ClusterState, QueueBounds, StateError, Use};
pub use crate::command::{Command, CommandBatch};
pub use crate::event::Event;
pub use crate::flush_progress::FlushProgress;
pub use crate::gateway_session::{Flush, GatewaySession, OpenReport};
pub use crate::halt_reason::HaltReason;
pub use crate::held_frame::HeldFrame;
pub use crate::job::{Job, Occurrence, Step, Task, job_digest};
pub use crate::journal::Journal;
pub use crate::ledger::{Answer, Ledger};
pub use crate::peer_frame::PeerFrame;
pub use crate::planning::{
    Candidate, CandidateQueue, EligibleWorkers, GangReservation, GangReservations, LesserAttempt, LesserWork, LookPurpose,
    PlacementPolicies, PlannedRound, PlannedStarts, PlannerMemory, Preemption, Preference, RackWaits, RackWorkers, RefusalKind, Refusals,
    RefusedRooms, ReservedWorkers, RoundBook, RoundLooks, RoundTurns, StartPlanner, StepPlacement, UnknownPolicy, WaitingStep,
    WaitingSteps, WideShapes, WorkerChoice, zone_allowance,
};
pub(crate) use crate::planning::{SLOW_RATIO, is_sound};
pub(crate) use crate::queries::patch_of;
pub use crate::queue_gauges::QueueGauges;
pub use crate::queued_command::{CommandOrigin, QueuedCommand, RefusedBatch, ReportPart};
pub use crate::ready_index::{QueuedGroups, ReadyGroup, ReadyIndex, ReadyQueue, ReadyStep};
pub use crate::scheduler::{Scheduler, SchedulerCounters, Waiter};
pub use crate::scheduler_input::{ChannelId, OWN_PROCESS, SchedulerEffect, SchedulerInput};
pub use crate::scheduler_members::PeerMember;
pub use crate::scheduler_settings::SchedulerSettings;
pub use crate::steady_clock::SteadyClock;
pub use crate::tables::Tables;
pub use crate::task_state::{TaskEvent, TaskState, task_chart};
pub use crate::urgent_news::UrgentNews;
pub use crate::view_builder::ViewBuilder;
pub use crate::worker_health::WorkerHealth;
pub use crate::worker_pace::WorkerPace;
pub use crate::worker_record::{GatewayRecord, WorkerRecord};
