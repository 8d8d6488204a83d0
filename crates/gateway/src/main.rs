//! `gateway --settings FILE`

use gateway::prelude::*;

fn main() {
    let settings: DaemonSettings = settings_or_exit("gateway");
    if let Err(e) = GatewayProcess::run(settings) {
        tracing::error!("{e}");
        eprintln!("gateway: {e}");
        std::process::exit(1);
    }
}
