//! Replays generated traces under several ways of placement and compares them.

mod comparison;
mod invocation;
mod prelude;
mod replay_error;
mod spread;
mod timing;

use crate::prelude::*;

fn run(asked: &Invocation) -> Result<(), ReplayError> {
    let mut out = std::io::stdout();
    let mut say = |line: &str| writeln!(out, "{line}").context(WriteReportSnafu);
    let mut comparisons = Vec::new();
    say(Comparison::HEADING)?;
    for shape in &asked.fleets {
        let plain = Contender::ALL.map(|c| (c, 0.0));
        let wrong = asked.wrong.iter().flat_map(|w| Contender::LEARNED.map(|c| (c, *w)));
        for (contender, share) in plain.into_iter().chain(wrong) {
            let c = Comparison::measure(contender, shape, &asked.settings, share, &asked.seeds)?;
            say(&c.row())?;
            comparisons.push(c);
        }
    }
    let sizes: &[u32] = if asked.times { &[50, 550, 5_500] } else { &[] };
    let timings = sizes.iter().map(|n| Timing::measure(*n, &asked.settings)).collect::<Result<Vec<_>, _>>()?;
    for t in &timings {
        say(&format!("{t:?}"))?;
    }
    if let Some(path) = &asked.json {
        let all = serde_json::json!({ "comparisons": comparisons, "timings": timings, "settings": asked.settings });
        let text = serde_json::to_string_pretty(&all).context(EncodeReportSnafu)?;
        std::fs::write(path, text).context(WriteReportSnafu)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let outcome = Invocation::parse(&args).and_then(|asked| asked.as_ref().map_or(Ok(()), run));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _closed = writeln!(std::io::stderr(), "placement-replay: {error:?}");
            ExitCode::FAILURE
        }
    }
}
