use crate::prelude::*;

/// What `get` prints, so that it can be edited and put again.
#[derive(Deserialize)]
struct Envelope {
    version: u64,
    tree: Value,
}

/// `config`.
pub async fn config(s: &mut Session<'_>) -> CommandResult {
    let free = s.matches.free.clone();
    let free: Vec<&str> = free.iter().map(String::as_str).collect();
    match free[..] {
        ["get"] => get(s).await,
        ["put", file] => {
            let (version, value) = read_tree(s, file)?;
            put(s, value, version).await
        }
        ["diff", file] => {
            let (_, value) = read_tree(s, file)?;
            let (_, now) = in_force(s).await?;
            let patch = tree::diff(&now, &parse(file, &value)?);
            s.print(&patch, |p| p.0.iter().map(|o| format!("{o}\n")).collect())?;
            Ok(ExitCode::Ok)
        }
        ["plan", file] => plan(s, file).await,
        ["history"] => history(s).await,
        ["effective", zone, queue] => effective(s, zone, queue).await,
        _ => Err(s.usage()),
    }
}

/// Reads a tree, or what `get` printed.
fn read_tree(s: &Session<'_>, file: &str) -> Result<(Option<u64>, Value), CommandError> {
    let v: Value = s.read_json(file)?;
    Ok(unwrap_tree(v))
}

/// Takes a tree out of what `get` printed.
fn unwrap_tree(v: Value) -> (Option<u64>, Value) {
    match serde_json::from_value::<Envelope>(v.clone()) {
        Ok(e) => (Some(e.version), e.tree),
        Err(_) => (None, v),
    }
}

/// Checks a tree as the scheduler does: all faults at once.
fn parse(path: &str, value: &Value) -> Result<tree::SettingsTree, CommandError> {
    tree::SettingsTree::from_value(value).map_err(|e| {
        let faults = e.faults.iter().map(|f| Fault::new(f.path.clone(), f.problem.to_string())).collect();
        CommandError::Faults { path: path.to_owned(), faults }
    })
}

/// The configuration in force. Before the first change it is the empty tree.
async fn in_force(s: &Session<'_>) -> Result<(u64, tree::SettingsTree), CommandError> {
    let c = s.client.call(&GetConfiguration {}).await?;
    let value = if c.tree.0.is_null() { json!({}) } else { c.tree.0 };
    Ok((c.version, parse("the configuration in force", &value)?))
}

async fn get(s: &mut Session<'_>) -> CommandResult {
    let c = s.client.call(&GetConfiguration {}).await?;
    s.print(&c, |c| format!("version {} digest {}\n{:#}\n", c.version, c.digest, c.tree.0))?;
    Ok(ExitCode::Ok)
}

/// Puts a tree, on the given base, the file's, or the one in force. The scheduler checks it, by its own bounds.
async fn put(s: &mut Session<'_>, new: Value, version: Option<u64>) -> CommandResult {
    let base = match s.value("base", "version of the configuration")?.or(version) {
        Some(b) => b,
        None => s.client.call(&GetConfiguration {}).await?.version,
    };
    let change_id = s.matches.opt_str("change-id").unwrap_or_else(|| crate::session::fresh_id("change"));
    if !s.json() {
        // Told first: after a lost answer, the same id and base make it the same change.
        writeln!(s.out, "change id {change_id}, base {base}")?;
    }
    let a = s.client.call(&PutConfiguration { base_version: base, change_id, tree: Payload(new), source: None }).await?;
    s.print(&a, |a| format!("version {}{} digest {}\n", a.version, if a.already { " (already acknowledged)" } else { "" }, a.digest))?;
    Ok(ExitCode::Ok)
}

async fn plan(s: &mut Session<'_>, file: &str) -> CommandResult {
    let v: Value = s.read_json(file)?;
    let (version, now) = in_force(s).await?;
    let new = if v.is_array() {
        let patch: tree::Patch = serde_json::from_value(v).context(crate::command_error::JsonSnafu { path: file })?;
        tree::apply_patch(&now, &patch).context(crate::command_error::PatchSnafu { path: file })?
    } else {
        parse(file, &unwrap_tree(v).1)?
    };
    let lines = tree::plan(&now, &new);
    let apply = s.matches.opt_present("apply");
    if !(apply && s.json()) {
        s.print(&lines, |v| {
            let lines: String = v.iter().map(|l| format!("{l}\n")).collect();
            format!("on version {version}: {} changes\n{lines}", v.len())
        })?;
    }
    if apply && !lines.is_empty() {
        return put(s, new.to_value(), Some(version)).await;
    }
    Ok(ExitCode::Ok)
}

async fn history(s: &mut Session<'_>) -> CommandResult {
    let h = s.client.call(&GetConfigurationHistory { limit: s.value("limit", "number of changes")? }).await?;
    s.print(&h, |h| {
        let mut t = TextTable::new(&["VERSION", "CHANGE ID", "CLUSTER TIME MS", "PATCH"]);
        for c in &h.changes {
            t.row([c.version.to_string(), c.change_id.clone(), c.at_ms.to_string(), c.patch.0.to_string()]);
        }
        t.to_string()
    })?;
    Ok(ExitCode::Ok)
}

async fn effective(s: &mut Session<'_>, zone: &str, queue: &str) -> CommandResult {
    let e = s.client.call(&GetEffectiveSettings { zone: zone.to_owned(), queue: queue.to_owned() }).await?;
    s.print(&e, |e| {
        let mut t = TextTable::new(&["SETTING", "VALUE", "FROM"]);
        for v in &e.values {
            t.row([v.setting.clone(), v.value.0.to_string(), v.origin.clone()]);
        }
        format!("queue {} in {}, version {}\n{t}", e.queue, e.zone, e.version)
    })?;
    Ok(ExitCode::Ok)
}
