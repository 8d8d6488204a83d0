//! The one module that the test files with a fleet import.

pub use replicated_log::prelude::*;

pub use super::checker::{Checker, Rule, chain};
pub use super::node::{Fault, Node, digest_of};
pub use super::world::{Event, World, home};
