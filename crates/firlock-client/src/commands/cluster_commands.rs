use crate::prelude::*;

/// `queues`.
pub async fn queues(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    let l = s.client.call(&ListQueues {}).await?;
    s.print(&l, |l| {
        let mut t = TextTable::new(&["ZONE", "QUEUE", "URGENCY", "SHARE", "TASKS", "CORES", "MEMORY MB", "WAITING JOBS"]);
        let of = |n: u64, cap: u64| if cap == 0 { n.to_string() } else { format!("{n}/{cap}") };
        for q in &l.queues {
            t.row([
                q.zone.clone(),
                q.queue.clone(),
                q.urgency.to_string(),
                q.share.to_string(),
                of(q.tasks, q.cap_tasks),
                of(q.used_cpu_millis / 1_000, q.cap_cpu_millis / 1_000),
                q.used_memory_mb.to_string(),
                q.waiting_jobs.to_string(),
            ]);
        }
        t.to_string()
    })?;
    Ok(ExitCode::Ok)
}

/// `members`.
pub async fn members(s: &mut Session<'_>) -> CommandResult {
    let free: Vec<&str> = s.matches.free.iter().map(String::as_str).collect();
    let id = |t: &str| crate::session::read_value::<u64>(t, "id of a member");
    let changed = match free[..] {
        [] => {
            let l = s.client.call(&ListMembers {}).await?;
            s.print(&l, |l| {
                let mut t = TextTable::new(&["MEMBER", "ADDRESS", "ZONE", "ROLE", "MATCHED", "SILENT MS"]);
                for m in &l.members {
                    let role = if m.leader { "leader" } else { m.role.as_str() };
                    let silent = m.silent_ms.map_or_else(|| "-".to_owned(), |s| s.to_string());
                    t.row([m.id.to_string(), m.address.clone(), m.zone.clone(), role.to_owned(), m.matched.to_string(), silent]);
                }
                format!("term {}\n{t}", l.term)
            })?;
            return Ok(ExitCode::Ok);
        }
        ["remove", m] => s.client.call(&RemoveMember { id: id(m)? }).await?,
        ["lead", m] => s.client.call(&TransferLeadership { id: id(m)? }).await?,
        _ => return Err(s.usage()),
    };
    s.print(&changed, |c| format!("under way for member {}; see firlock members\n", c.id))?;
    Ok(ExitCode::Ok)
}

/// `gateways`.
pub async fn gateways(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    let c = s.client.call(&GetClusterStatus {}).await?;
    s.print(&c.gateways, |v| {
        let mut t = TextTable::new(&["GATEWAY", "ZONE", "ADDRESS", "WORKERS", "STATE"]);
        for g in v {
            t.row([g.name.as_str(), &g.zone, &g.http_address, &g.workers.to_string(), if g.alive { "alive" } else { "silent" }]);
        }
        t.to_string()
    })?;
    Ok(ExitCode::Ok)
}

/// `cluster`.
pub async fn cluster(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    let c = s.client.call(&GetClusterStatus {}).await?;
    s.print(&c, |c| {
        let mut t = TextTable::default();
        let zones = if c.evacuated_zones.is_empty() { "none".to_owned() } else { c.evacuated_zones.join(", ") };
        let alive = c.gateways.iter().filter(|g| g.alive).count();
        let lines = [
            ("cluster", c.cluster.clone()),
            ("leader", format!("{} at {}", c.leader, c.leader_address)),
            ("term", c.term.to_string()),
            ("commands committed", c.commit_index.to_string()),
            ("cluster time", format!("{} ms", c.log_time_ms)),
            ("configuration", c.configuration_version.to_string()),
            ("jobs kept", c.jobs.to_string()),
            ("tasks that wait", c.waiting_tasks.to_string()),
            ("attempts out", c.attempts.to_string()),
            ("workers", c.workers.to_string()),
            ("gateways alive", format!("{alive} of {}", c.gateways.len())),
            ("zones evacuated", zones),
            ("state digest", c.state_digest.clone()),
        ];
        for (what, value) in lines {
            t.row([what.to_owned(), value]);
        }
        t.to_string()
    })?;
    Ok(ExitCode::Ok)
}
