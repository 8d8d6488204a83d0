use crate::prelude::*;

/// A line through points by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// What one more of the variable costs.
    pub slope: f64,
    /// What there is without any.
    pub intercept: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
    /// The residual as a ratio to the largest reading.
    pub residual_ratio: f64,
}

impl Fit {
    /// Fits a line; needs two different sizes at least.
    ///
    /// ```
    /// use capacity_slopes::Fit;
    /// let f = Fit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    /// assert!((f.slope - 2.0).abs() < 1e-9 && (f.intercept - 3.0).abs() < 1e-9 && f.residual < 1e-9);
    /// ```
    pub fn of(points: &[(f64, f64)]) -> Result<Fit, CapacityError> {
        let n = points.len() as f64;
        let (sx, sy) = points.iter().fold((0.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
        let (mx, my) = (sx / n, sy / n);
        let xx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        if points.len() < 2 || xx <= 0.0 {
            return Err(CapacityError::NoLine { points: points.len() });
        }
        let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / xx;
        let intercept = my - slope * mx;
        let squares: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let residual = (squares / n).sqrt();
        let most = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual_ratio = if most > 0.0 { residual / most } else { 0.0 };
        Ok(Fit { slope, intercept, residual, residual_ratio })
    }

    /// The line's value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
