//! A small fleet in simulated time, and a checker that watches from outside.
#![allow(dead_code)]

pub mod chaos;
pub mod checker;
pub mod node;
pub mod prelude;
pub mod world;
