//! The `firlock` tool.

use firlock_client::prelude::*;

fn main() -> std::process::ExitCode {
    let line: Vec<String> = std::env::args().skip(1).collect();
    let gateways = std::env::var("FIRLOCK_GATEWAYS").ok();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(r) => r,
        Err(e) => {
            eprintln!("firlock: no runtime: {e}");
            return ExitCode::Error.number().into();
        }
    };
    let code = runtime.block_on(run_command(&line, gateways, &mut std::io::stdout(), &mut std::io::stderr()));
    code.number().into()
}
