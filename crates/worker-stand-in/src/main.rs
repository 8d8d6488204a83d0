use worker_stand_in::prelude::*;

/// Threads that serve all workers of the process.
const THREADS: usize = 2;

fn run(o: StandInOptions) -> Result<(), StandInError> {
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build().context(RuntimeSnafu)?;
    rt.block_on(async {
        let end = shutdown_signal().context(PlumbingSnafu)?;
        StandInProcess::start(o).await?.run(end).await;
        Ok(())
    })
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let status = match StandInCommand::read(&args) {
        Ok(StandInCommand::Help(text)) => {
            print!("{text}");
            0
        }
        Ok(StandInCommand::Run(o)) => run(o).map_or_else(told, |()| 0),
        Err(e) => told(e),
    };
    std::process::exit(status);
}

/// Tells an error on stderr; the exit status for it.
fn told(e: StandInError) -> i32 {
    eprintln!("worker-stand-in: {e}");
    2
}
