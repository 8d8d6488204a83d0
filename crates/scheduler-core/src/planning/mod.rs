//! Which waiting tasks start where: one round of placement, and the policies that it asks.
//!
//! [`StartPlanner`] walks the waiting steps in their order. For each task it asks [`WorkerChoice`] for a worker, and charges
//! the [`RoundBook`]. Each policy is a file of its own and can be switched off by itself with [`PlacementPolicies`].

mod candidate_queue;
mod eligible_workers;
mod gang_places;
mod gang_reservations;
mod lesser_work;
mod placement_policies;
mod planner_memory;
mod preemption;
mod rack_waits;
mod refused_rooms;
mod reserved_workers;
mod round_book;
mod round_looks;
mod round_turns;
mod start_planner;
mod step_placement;
mod waiting_steps;
mod wide_shapes;
mod worker_choice;
mod zone_allowance;

pub use candidate_queue::{Candidate, CandidateQueue};
pub use eligible_workers::{EligibleWorkers, RackWorkers};
pub use gang_reservations::{GangReservation, GangReservations};
pub use lesser_work::{LesserAttempt, LesserWork};
pub use placement_policies::{PlacementPolicies, UnknownPolicy};
pub use planner_memory::PlannerMemory;
pub use preemption::Preemption;
pub use rack_waits::RackWaits;
pub use refused_rooms::{RefusalKind, Refusals, RefusedRooms};
pub use reserved_workers::ReservedWorkers;
pub use round_book::RoundBook;
pub use round_looks::{LookPurpose, RoundLooks};
pub use round_turns::RoundTurns;
pub use start_planner::{PlannedRound, PlannedStarts, StartPlanner};
pub use step_placement::StepPlacement;
pub use waiting_steps::{WaitingStep, WaitingSteps};
pub use wide_shapes::WideShapes;
pub use worker_choice::{Preference, WorkerChoice};
pub(crate) use worker_choice::{SLOW_RATIO, is_sound};
pub use zone_allowance::zone_allowance;
