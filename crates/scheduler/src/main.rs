//! The scheduler daemon. `scheduler --help` lists its settings.

use scheduler::prelude::*;

fn main() {
    let source = SettingsSource::of_process("scheduler");
    let settings: DaemonSettings = source.read_or_exit();
    if let Err(e) = Daemon::run_process(&source, settings, OwnPages) {
        eprintln!("scheduler: {e}");
        std::process::exit(1);
    }
}
