//! Every name this crate's files use.

pub use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
pub use std::sync::Arc;

pub use caller_stand_in::{CallerEffect, CallerInput, CallerModel, CallerSettings, Model, OperatorModel, OperatorSettings, Profile};
pub use cluster_messages::prelude::{
    AnswerBody, AttemptId, CallBody, CallResult, ControlCall, GatewayFrame, HoldAnswer, Millis, Name, Outcome, RegisterWorker,
    SchedulerFrame, StartAnswer, StepId, StopAnswer, StopResult,
};
pub use fleet_oracle::{Observation, Oracle, OracleBounds, Rule, Verdict};
pub use gateway_core::{GatewayCore, GatewayEffect, GatewayInput, GatewaySettings, Reply};
pub use rand::{Rng, SeedableRng};
pub use rand_chacha::ChaCha8Rng;
pub use replicated_log::prelude::{LogStorage, MemoryLogStorage, RestoredState};
pub use scheduler_core::prelude::{HaltReason, Scheduler, SchedulerEffect, SchedulerInput, SchedulerSettings};
pub use worker_stand_in::{Behaviour, GangMember, Reach, Token, WorkerAnswer, WorkerEffect, WorkerIdentity, WorkerInput, WorkerModel};

pub use crate::agenda::Agenda;
pub use crate::fault::Fault;
pub use crate::fault_plan::{FaultPlan, fault_plan};
pub use crate::gang_table::{GangRun, GangTable, MemberEnd};
pub use crate::machine::Machine;
pub use crate::network::{Network, Node};
pub use crate::occurrence::{Direction, Occurrence, Order, WorkerReply};
pub use crate::plant::Plant;
pub use crate::scenario::{Bounds, Scenario};
pub use crate::scenario_list::{scenario, scenarios};
pub use crate::scheduler_backlog::SchedulerBacklog;
pub use crate::simulation::Simulation;
pub use crate::simulation_gangs::GangTear;
pub use crate::simulation_gateways::{GatewayNode, Origin};
pub use crate::simulation_outcome::SimulationOutcome;
pub use crate::simulation_schedulers::{Channel, SchedulerNode};
pub use crate::simulation_settings::SimulationSettings;
pub use crate::simulation_workers::WorkerNode;
pub use crate::step_cost::StepCost;
pub use crate::worst_figures::WorstFigures;

/// Unix time at simulated time 0, in milliseconds.
pub const UNIX_AT_ZERO_MS: Millis = 1_780_000_000_000;

/// Schedulers and gateways tick this often.
pub const TICK_MS: Millis = 25;
