//! `gateway --settings FILE`

use gateway::prelude::*;

fn main() {
    let source = SettingsSource::of_process("gateway");
    let settings: DaemonSettings = source.read_or_exit();
    if let Err(e) = GatewayProcess::run(&source, settings, OwnSurface) {
        tracing::error!("{e}");
        eprintln!("gateway: {e}");
        std::process::exit(1);
    }
}
