//! What each role of the control plane spends against the size of its load: slopes, measured on the pure cores.
//!
//! The cores run on one thread in simulated time with hollow workers. Messages and bytes are counted exactly, from the
//! encoded frames; processor time is this thread's, and so has noise; memory is what dropping a core gives back.

pub mod prelude;

mod capacity_error;
mod counting_allocator;
mod driver_event;
mod fit;
mod fleet_driver;
mod fleet_load;
mod fleet_size;
mod gateway_seat;
mod http_headers;
mod process_probe;
mod quantity;
mod reading;
mod role;
mod role_usage;
mod scheduler_seat;
mod slope;
mod slope_plot;
mod slope_report;
mod thread_time;
mod traffic;
mod variable;
mod worked_out;

pub use prelude::*;
