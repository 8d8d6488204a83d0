use crate::prelude::*;

/// How one quantity of one role grows with one variable.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The variable.
    pub variable: Variable,
    /// The role.
    pub role: Role,
    /// The quantity.
    pub quantity: Quantity,
    /// The points: size and reading.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: Fit,
    /// Of processor time: the largest difference between two readings of one size, as a ratio to the smaller.
    pub noise_ratio: Option<f64>,
}
