use crate::prelude::*;

/// Time budget that gateways take at most.
const LONGEST_BUDGET_MS: Millis = 60_000;

/// Runs one command line (without the program's name), and says how to exit. `environment` stands for the
/// environment's FIRLOCK_GATEWAYS.
///
/// ```
/// use firlock_client::{ExitCode, run_command};
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// # let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # rt.block_on(async {
/// let code = run_command(&["status".to_owned(), "--help".to_owned()], None, &mut out, &mut err).await;
/// assert_eq!(code, ExitCode::Ok);
/// # });
/// assert!(String::from_utf8(out).unwrap().contains("firlock status hold-7"));
/// ```
pub async fn run_command(line: &[String], environment: Option<String>, out: &mut dyn Write, err: &mut dyn Write) -> ExitCode {
    let as_json = line.iter().any(|a| a == "--json");
    match run(line, environment, out).await {
        Ok(code) => code,
        Err(e) => {
            let text = match e {
                CommandError::Client { source: ClientError::Answered { ref error } } if as_json => json!(error).to_string() + "\n",
                _ => format!("firlock: {e}\n{}", e.advice().map(|a| format!("{a}\n")).unwrap_or_default()),
            };
            // Nothing is left to tell when even the error can't be written.
            err.write_all(text.as_bytes()).ok();
            e.exit_code()
        }
    }
}

/// Dispatches through the table.
async fn run(line: &[String], environment: Option<String>, out: &mut dyn Write) -> CommandResult {
    let Some((name, rest)) = line.split_first().filter(|(n, _)| !["--help", "-h", "help"].contains(&n.as_str())) else {
        out.write_all(crate::subcommand::overview().as_bytes())?;
        return Ok(if line.is_empty() { ExitCode::Usage } else { ExitCode::Ok });
    };
    let command = Subcommand::named(name).context(crate::command_error::UnknownSnafu { name })?;
    if rest.iter().any(|a| a == "--help") {
        out.write_all(command.help().as_bytes())?;
        return Ok(ExitCode::Ok);
    }
    let matches = command.getopts().parse(rest).context(crate::command_error::OptionSnafu)?;
    let gateways = matches.opt_str("gateways").or(environment).unwrap_or_default();
    let gateways = gateways.split(',').map(str::trim).filter(|g| !g.is_empty()).map(str::to_owned).collect();
    let budget = matches.opt_str("budget").map(|t| crate::session::read_value::<Millis>(&t, "number of milliseconds")).transpose()?;
    let settings = budget.map_or_else(RetrySettings::default, |b| RetrySettings::with_budget(b.clamp(1, LONGEST_BUDGET_MS)));
    let client = GatewayClient::new(HyperTransport::new(None), TokioClock::default(), gateways, settings, rand::rng().random());
    let mut session = Session { command, matches, client, out };
    (command.run)(&mut session).await
}
