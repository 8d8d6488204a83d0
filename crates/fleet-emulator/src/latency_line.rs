use crate::prelude::*;

/// A spread of times, in words.
#[derive(Clone, Copy, Debug)]
pub struct LatencyLine<'a>(pub &'a LatencyFigure);

impl fmt::Display for LatencyLine<'_> {
    /// ```
    /// use fleet_emulator::prelude::*;
    /// assert_eq!(LatencyLine(&LatencyFigure::default()).to_string(), "none measured");
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LatencyFigure { count, p50, p99, max } = self.0;
        match count {
            0 => f.write_str("none measured"),
            _ => write!(f, "p50 {p50}  p99 {p99}  max {max} ms  ({count} measured)"),
        }
    }
}
