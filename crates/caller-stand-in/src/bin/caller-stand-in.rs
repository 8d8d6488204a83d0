//! Stand-in callers and operators as a process.

use caller_stand_in::prelude::*;

fn main() -> std::process::ExitCode {
    let line: Vec<String> = std::env::args().skip(1).collect();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(r) => r,
        Err(e) => {
            eprintln!("caller-stand-in: no runtime: {e}");
            return 1.into();
        }
    };
    match RunCommand::read(&line, unix_ms).and_then(|c| runtime.block_on(serve_run(c))) {
        Ok(f) => {
            println!("{}", json!(f));
            0.into()
        }
        Err(RunError::Help { text }) => {
            println!("{text}");
            0.into()
        }
        Err(e) => {
            eprintln!("caller-stand-in: {e}");
            2.into()
        }
    }
}

/// Runs until its time is over, and says what came of it.
async fn serve_run(command: RunCommand) -> Result<CallerFigures, RunError> {
    let listener = match command.control {
        Some(address) => Some(TcpListener::bind(address).await.context(ListenSnafu { address })?),
        None => None,
    };
    let handle = Arc::new(run(command.settings));
    if let Some(l) = listener {
        if let Ok(a) = l.local_addr() {
            println!("control pages at {a}");
        }
        tokio::spawn(serve(l, control_pages(handle.clone())).into_future());
    }
    match command.seconds {
        Some(s) => tokio::time::sleep(Duration::from_secs(s)).await,
        None => std::future::pending().await,
    }
    Ok(handle.figures())
}
