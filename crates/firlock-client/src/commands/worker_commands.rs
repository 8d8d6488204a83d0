use crate::prelude::*;

/// `workers`.
pub async fn workers(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    let l = s.client.call(&ListWorkers { zone: s.matches.opt_str("zone") }).await?;
    s.print(&l, |l| {
        let mut t =
            TextTable::new(&["WORKER", "ZONE", "RACK", "SERVICE", "KIND", "CORES", "MEMORY MB", "ATTEMPTS", "BAND", "GATEWAY", "STATE"]);
        for w in &l.workers {
            t.row([
                w.name.clone(),
                w.zone.clone(),
                w.rack.clone(),
                w.service.clone(),
                w.kind.clone(),
                format!("{:.1}/{:.1}", w.used_cpu_millis as f64 / 1e3, w.cpu_millis as f64 / 1e3),
                format!("{}/{}", w.used_memory_mb, w.memory_mb),
                w.attempts.to_string(),
                format!("{} {}", w.band.class, w.band.state),
                w.gateway.clone().unwrap_or_else(|| "-".to_owned()),
                state(w),
            ]);
        }
        t.to_string()
    })?;
    Ok(ExitCode::Ok)
}

/// A worker's state in words.
fn state(w: &WorkerSummary) -> String {
    let shunned = format!("shunned {}", w.shun_level);
    let all = [(w.gateway.is_none(), "unheld"), (!w.reachable, "silent"), (w.draining, "draining"), (w.shun_level > 0, &shunned)];
    let v: Vec<&str> = all.iter().filter(|(on, _)| *on).map(|(_, w)| *w).collect();
    if v.is_empty() { "in use".to_owned() } else { v.join(", ") }
}

/// `drain`.
pub async fn drain(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let order_id = s.matches.opt_str("order-id").unwrap_or_else(|| crate::session::fresh_id("drain"));
    let a = s
        .client
        .call(&DrainWorker { name: name.to_owned(), on: !s.matches.opt_present("off"), order_id: Some(order_id), ..DrainWorker::default() })
        .await?;
    s.print(&a, |a| format!("{} {}; {} attempts on it\n", a.name, if a.draining { "drains" } else { "takes work" }, a.attempts))?;
    Ok(ExitCode::Ok)
}

/// `remove`.
pub async fn remove(s: &mut Session<'_>) -> CommandResult {
    let [name] = s.arguments()?;
    let a = s.client.call(&RemoveWorker { name: name.to_owned(), declare_lost: s.matches.opt_present("declare-lost") }).await?;
    s.print(&a, |a| format!("{} removed; {} attempts declared lost with it\n", a.name, a.lost_attempts))?;
    Ok(ExitCode::Ok)
}

/// `evacuate`.
pub async fn evacuate(s: &mut Session<'_>) -> CommandResult {
    let [zone] = s.arguments()?;
    let order_id = s.matches.opt_str("order-id").unwrap_or_else(|| crate::session::fresh_id("evacuation"));
    let call = EvacuateZone { zone: zone.to_owned(), on: !s.matches.opt_present("off"), order_id };
    if !s.json() {
        // Told first: after a lost answer, the same id makes it the same order.
        writeln!(s.out, "order id {}", call.order_id)?;
    }
    let a = s.client.call(&call).await?;
    s.print(&a, |a| {
        let state = if a.on { "is evacuated" } else { "is used again" };
        format!("{} {state}{}; {} attempts in it\n", a.zone, if a.already { " (already acknowledged)" } else { "" }, a.attempts)
    })?;
    Ok(ExitCode::Ok)
}
