use crate::prelude::*;

/// Bounds of the histograms, in whatever unit is recorded (milliseconds as a rule).
const BUCKETS: [f64; 14] = [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 15_000.0];

/// The process's counters, as a Prometheus text page.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the process's recorder, without a listener of its own. Once a process.
    pub fn install() -> Result<Self, PlumbingError> {
        let b = PrometheusBuilder::new().set_buckets(&BUCKETS).context(RecorderSnafu)?;
        Ok(MetricsPage { handle: b.install_recorder().context(RecorderSnafu)? })
    }

    /// The page now, process statistics included.
    pub fn render(&self) -> String {
        if let Some(s) = ProcessStatistics::read() {
            s.publish();
        }
        self.handle.run_upkeep();
        self.handle.render()
    }
}
