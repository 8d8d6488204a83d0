use crate::prelude::*;

/// A file of one job, or of several.
#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    Many(Vec<Value>),
    One(Value),
}

/// `submit`.
pub async fn submit(s: &mut Session<'_>) -> CommandResult {
    let [path] = s.arguments()?;
    let path = path.to_owned();
    let values = match s.read_json(&path)? {
        OneOrMany::Many(v) => v,
        OneOrMany::One(v) => vec![v],
    };
    let read = |v| serde_json::from_value::<JobSpec>(v).context(crate::command_error::JsonSnafu { path: &path });
    let specs = values.into_iter().map(read).collect::<Result<Vec<_>, _>>()?;
    let mut accepted = Vec::new();
    for spec in specs {
        accepted.push(s.client.call(&SubmitJob { spec }).await?);
    }
    if !s.matches.opt_present("wait") {
        let text = |v: &Vec<JobAccepted>| {
            v.iter().map(|a| format!("{} accepted as job {}{}\n", a.name, a.job, if a.already { " (already)" } else { "" })).collect()
        };
        s.print(&accepted, text)?;
        return Ok(ExitCode::Ok);
    }
    let mut ends = Vec::new();
    for a in accepted {
        ends.push(follow(s, &a.name, false).await?);
    }
    s.print(&ends, |v| v.iter().map(|j| format!("{}: {}\n", j.summary.name, j.summary.state.word())).collect())?;
    Ok(success(ends.iter().all(|j| j.summary.state == JobState::Succeeded)))
}

/// Looks at a job until it is final; may print each change of state.
async fn follow(s: &mut Session<'_>, name: &str, tell: bool) -> Result<JobStatus, CommandError> {
    let every = s.value("every", "number of milliseconds")?.unwrap_or(500).max(1);
    let mut last = None;
    loop {
        let j = match s.client.call(&GetJob { name: name.to_owned() }).await {
            Ok(j) => j,
            // A crowded or leaderless moment ends no watch: it looks again when it is told to.
            Err(ClientError::Answered { error }) if error.retry_after_ms().is_some() => {
                let hint = error.retry_after_ms().unwrap_or(every).max(every);
                s.client.clock().wait(hint).await;
                continue;
            }
            Err(e) => return Err(e.into()),
        };
        if tell && last != Some(j.summary.state) {
            s.print(&j.summary, |j| format!("{}: {} ({})\n", j.name, j.state.word(), counts(&j.tasks)))?;
            last = Some(j.summary.state);
        }
        if j.summary.state.is_final() {
            return Ok(j);
        }
        s.client.clock().wait(every).await;
    }
}

/// Counts in words, without the zeros.
fn counts(t: &TaskCounts) -> String {
    let all = [
        (t.waiting, "waiting"),
        (t.starting, "starting"),
        (t.running, "running"),
        (t.succeeded, "succeeded"),
        (t.failed, "failed"),
        (t.cancelled, "cancelled"),
    ];
    let v: Vec<String> = all.iter().filter(|(n, _)| *n > 0).map(|(n, w)| format!("{n} {w}")).collect();
    if v.is_empty() { "no tasks".to_owned() } else { v.join(", ") }
}

/// The exit code of something that went well or not.
fn success(good: bool) -> ExitCode {
    if good { ExitCode::Ok } else { ExitCode::Error }
}

/// `status`.
pub async fn status(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let call = GetJob { name: name.to_owned() };
    // Steps are known to the elected scheduler alone; without one, the short form from a view has to do.
    let j = match s.client.call_with(&call, "steps", "1").await {
        Err(ClientError::Answered { error }) if error.retry_after_ms().is_some() => s.client.call(&call).await?,
        r => r?,
    };
    s.print(&j, |j| {
        let b = &j.summary;
        let mut t = format!(
            "job {} ({})\nstate {}\nqueue {}, urgency {}\ntasks {}\nfailures {}\n",
            b.name,
            b.job,
            b.state.word(),
            b.queue,
            b.urgency,
            counts(&b.tasks),
            b.failures
        );
        if !j.steps.is_empty() {
            let mut steps = TextTable::new(&["STEP", "WAITS FOR", "TASKS"]);
            for x in &j.steps {
                steps.row([x.name.clone(), x.waits_for.join(","), counts(&x.tasks)]);
            }
            t += &format!("\n{steps}");
        }
        if !j.attempts.is_empty() {
            let mut out = TextTable::new(&["ATTEMPT", "WORKER"]);
            for (a, w) in &j.attempts {
                out.row([a.to_string(), w.clone()]);
            }
            t += &format!("\n{out}");
        }
        t
    })?;
    Ok(ExitCode::Ok)
}

/// `watch`.
pub async fn watch(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let name = name.to_owned();
    let j = follow(s, &name, true).await?;
    Ok(success(j.summary.state == JobState::Succeeded))
}

/// `cancel`.
pub async fn cancel(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let a = s.client.call(&CancelJob { name: name.to_owned() }).await?;
    s.print(&a, |a| format!("{}: {}\n", a.name, a.state.word()))?;
    Ok(ExitCode::Ok)
}

/// `list`.
pub async fn list(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    let state = s.matches.opt_str("state");
    let state = state
        .map(|t| serde_json::from_value(json!(t)).map_err(|_| CommandError::Value { text: t, wanted: "state of a job".to_owned() }))
        .transpose()?;
    let call = ListJobs {
        queue: s.matches.opt_str("queue"),
        state,
        after: s.value("after", "number of a job")?,
        limit: s.value("limit", "number of jobs")?,
    };
    let l = s.client.call(&call).await?;
    s.print(&l, |l| {
        let mut t = TextTable::new(&["JOB", "NAME", "QUEUE", "STATE", "URGENCY", "TASKS", "FAILURES"]);
        for j in &l.jobs {
            t.row([
                j.job.to_string(),
                j.name.clone(),
                j.queue.clone(),
                j.state.word().to_owned(),
                j.urgency.to_string(),
                counts(&j.tasks),
                j.failures.to_string(),
            ]);
        }
        let more = l.next.map(|n| format!("more: --after {n}\n")).unwrap_or_default();
        format!("{t}{more}")
    })?;
    Ok(ExitCode::Ok)
}

/// `why`.
pub async fn why(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let x = s.client.call(&ExplainJob { name: name.to_owned() }).await?;
    s.print(&x, |x| {
        let reasons: String = x.reasons.iter().map(|r| format!("  {r}\n")).collect();
        format!("{}: {}\n{reasons}", x.name, x.state.word())
    })?;
    Ok(ExitCode::Ok)
}
