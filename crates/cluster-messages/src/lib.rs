//! What firlock's processes, its callers, its operators and its workers say to each other.
//!
//! JSON shapes (serde) go to callers, operators and workers; the same types travel between
//! gateways and schedulers as `minicbor`. No I/O lives here.

pub mod prelude;

mod attempt_id;
mod call_body;
mod call_error;
mod configuration_calls;
mod end_list;
mod gateway_frame;
mod job_calls;
mod job_spec;
mod member_calls;
mod payload;
mod scheduler_frame;
mod task_id;
mod view_update;
mod wire;
mod worker_calls;
mod worker_facts;
mod worker_orders;

pub use prelude::*;
