//! Which waiting tasks start where: one round of placement, and the policies that it asks.
//!
//! [`StartPlanner`] walks the waiting steps in their order. For each task it asks [`WorkerChoice`] for a worker, and charges
//! the [`RoundBook`]. Each policy is a file of its own and can be switched off by itself with [`PlacementPolicies`].

mod candidate_queue;
mod eligible_workers;
mod gang_reservations;
mod placement_policies;
mod planner_memory;
mod preemption;
mod rack_waits;
mod reserved_workers;
mod round_book;
mod round_looks;
mod start_planner;
mod step_placement;
mod wide_shapes;
mod worker_choice;
mod zone_allowance;

pub use candidate_queue::{Candidate, CandidateQueue};
pub use eligible_workers::{EligibleWorkers, RackWorkers};
pub use gang_reservations::{GangReservation, GangReservations};
pub use placement_policies::{PlacementPolicies, UnknownPolicy};
pub use planner_memory::PlannerMemory;
pub use preemption::Preemption;
pub use rack_waits::RackWaits;
pub use reserved_workers::ReservedWorkers;
pub use round_book::RoundBook;
pub use round_looks::{LookPurpose, RoundLooks};
pub use start_planner::{PlannedRound, PlannedStarts, StartPlanner};
pub use step_placement::StepPlacement;
pub use wide_shapes::WideShapes;
pub use worker_choice::{Preference, WorkerChoice};
pub(crate) use worker_choice::{SLOW_RATIO, is_sound};
pub use zone_allowance::zone_allowance;
