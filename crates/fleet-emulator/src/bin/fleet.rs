//! Lays out and runs a whole deployment of real daemons.

use fleet_emulator::prelude::*;

/// Threads that carry the relays.
const THREADS: usize = 3;

fn main() -> ExitCode {
    let line: Vec<String> = std::env::args().skip(1).collect();
    match FleetCommand::read(&line) {
        Ok(FleetCommand::Help(text)) => {
            say(&text);
            ExitCode::SUCCESS
        }
        Ok(FleetCommand::Scenarios) => scenarios(),
        Ok(FleetCommand::Slopes(options)) => slopes(&options),
        Ok(FleetCommand::Compare(a, b)) => side_by_side(&a, &b),
        Ok(FleetCommand::Run(options)) => run(*options),
        Err(e) => told(&e, EXIT_USAGE),
    }
}

/// Tells an error; its exit status.
fn told(e: &FleetError, status: u8) -> ExitCode {
    eprintln!("fleet: {e}");
    status.into()
}

/// Runs `capacity-slopes`, which counts its own memory and so is a program of its own.
fn slopes(options: &[String]) -> ExitCode {
    let program = std::env::current_exe().unwrap_or_default().with_file_name("capacity-slopes");
    match std::process::Command::new(&program).args(options).status() {
        Ok(s) => ExitCode::from(s.code().and_then(|c| u8::try_from(c).ok()).unwrap_or(1)),
        Err(source) => told(&FleetError::File { path: program, source }, EXIT_USAGE),
    }
}

fn scenarios() -> ExitCode {
    match Scenario::all() {
        Err(e) => told(&e, EXIT_USAGE),
        Ok(all) => {
            all.iter().for_each(|s| {
                say(&format!(
                    "{}\n    does:   {}\n    holds:  {}\n    yields: {} after {} s of load",
                    s.name, s.what, s.must_hold, s.figure, s.seconds
                ))
            });
            ExitCode::SUCCESS
        }
    }
}

fn read_reports(files: &[PathBuf]) -> FleetResult<Vec<Value>> {
    let read = |path: &PathBuf| {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(JsonSnafu { path })
    };
    files.iter().map(read).collect()
}

fn side_by_side(a: &[PathBuf], b: &[PathBuf]) -> ExitCode {
    match (read_reports(a), read_reports(b)) {
        (Ok(a), Ok(b)) => {
            let reports = |side: &str, n: usize| format!("{side}, {n} reports");
            say(&format!(
                "{:<44} {:>34} {:>34} {:>8}",
                "figure: mean [least most]",
                reports("A", a.len()),
                reports("B", b.len()),
                "B by A"
            ));
            compare(&a, &b).iter().for_each(|c| say(&c.to_string()));
            ExitCode::SUCCESS
        }
        (Err(e), _) | (_, Err(e)) => told(&e, EXIT_USAGE),
    }
}

fn run(options: RunOptions) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build() {
        Ok(r) => r,
        Err(source) => return told(&FleetError::File { path: "runtime".into(), source }, EXIT_NOT_STARTED),
    };
    let (report, folder, own) = (options.report.clone(), options.run_folder(), options.folder.is_none());
    let done = runtime.block_on(async {
        let whole = async { FleetRun::start(options).await?.run().await };
        tokio::select! {
            r = whole => r,
            () = ended_from_outside() => Err(FleetError::Interrupted),
        }
    });
    // Tasks that still hold children end with the runtime, and their children with them.
    drop(runtime);
    match done {
        Err(e) => {
            if own && matches!(e, FleetError::Interrupted) {
                // Only files of this run are in it; one that can't be removed does no harm.
                let _ = fs::remove_dir_all(&folder);
            } else if folder.exists() {
                eprintln!("fleet: files of the run: {}", folder.display());
            }
            told(&e, EXIT_NOT_STARTED)
        }
        Ok(r) => {
            say(r.to_string().trim_end());
            if let Some(path) = report
                && let Err(source) = fs::write(&path, json!(r).to_string())
            {
                return told(&FleetError::File { path, source }, EXIT_NOT_STARTED);
            }
            if r.violation_count() > 0 { EXIT_BROKEN.into() } else { ExitCode::SUCCESS }
        }
    }
}

/// Ends at the first SIGINT or SIGTERM; never, where they can't be listened to.
async fn ended_from_outside() {
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate())) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = int.recv() => {}
        _ = term.recv() => {}
    }
}
