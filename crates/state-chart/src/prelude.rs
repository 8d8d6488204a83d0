//! Every name this crate's files use.

pub use std::collections::BTreeMap;

pub use serde::Deserialize;
pub use serde::de::DeserializeOwned;
pub use snafu::{ResultExt, Snafu, ensure};

pub use crate::chart::{Chart, ChartError};
