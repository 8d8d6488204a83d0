//! The scheduler daemon. `scheduler --help` lists its settings.

mod daemon;
mod daemon_error;
mod disk_writer;
mod gateway_doors;
mod peer_links;
mod prelude;

use crate::prelude::*;

fn main() {
    let s: DaemonSettings = settings_or_exit("scheduler");
    if let Err(e) = run(s) {
        eprintln!("scheduler: {e}");
        std::process::exit(1);
    }
}

/// Sets the process up and runs it.
fn run(s: DaemonSettings) -> Result<(), DaemonError> {
    let format = if s.log_format == "json" { LogFormat::Json } else { LogFormat::Text };
    init_logs(format, &s.log_level).context(crate::daemon_error::PlumbingSnafu)?;
    let page = MetricsPage::install().context(crate::daemon_error::PlumbingSnafu)?;
    let runtime = daemon_runtime(s.worker_threads as usize).context(crate::daemon_error::PlumbingSnafu)?;
    runtime.block_on(Daemon::new(s, page).run())
}
