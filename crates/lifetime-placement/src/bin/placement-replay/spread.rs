use crate::prelude::*;

/// Mean and spread over seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Least.
    pub least: f64,
    /// Most.
    pub most: f64,
}

impl Spread {
    /// Of one figure over all reports.
    pub fn of(reports: &[ReplayReport], figure: fn(&ReplayReport) -> f64) -> Self {
        let all = || reports.iter().map(figure);
        Self {
            mean: all().sum::<f64>() / reports.len().max(1) as f64,
            least: all().fold(f64::INFINITY, f64::min),
            most: all().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.1} ({:.1}-{:.1})", self.mean, self.least, self.most)
    }
}
