use crate::prelude::*;

/// `doctor`.
pub async fn doctor(s: &mut Session<'_>) -> CommandResult {
    let [] = s.arguments()?;
    if s.client.gateways().is_empty() {
        return Err(ClientError::NoGateways.into());
    }
    let mut limits = DoctorLimits::default();
    if let Some(mb) = s.value::<f64>("memory-mb", "number of megabytes")? {
        limits.memory_bytes = mb * 1024.0 * 1024.0;
    }
    let evidence = Evidence::gather(&s.client).await;
    let found = diagnose(&evidence, &limits);
    let asked = evidence.gateways.len();
    s.print(&found, |v| {
        let lines: String = v
            .iter()
            .map(|f| format!("{:<8}{} [{}]\n        {}\n        -> {}\n", f.severity.word(), f.subject, f.code, f.meaning, f.advice))
            .collect();
        let grave = v.iter().filter(|f| f.severity > Severity::Notice).count();
        format!("{lines}{asked} gateways asked: {grave} faults and warnings, {} notices\n", v.len() - grave)
    })?;
    if evidence.gateways.iter().all(|g| g.unreachable.is_some()) {
        return Ok(ExitCode::Unreachable);
    }
    // Notices alone leave it clean.
    Ok(if found.iter().any(|f| f.severity > Severity::Notice) { ExitCode::Error } else { ExitCode::Ok })
}
