//! State charts kept in JSON files, interpreted by the code that they steer.

pub mod prelude;

mod chart;

pub use prelude::*;
