use crate::prelude::*;

/// Writes and syncs in a thread of its own, in order; writes that wait are synced together.
pub struct DiskWriter {
    requests: std::sync::mpsc::Sender<PersistRequest>,
}

/// Writes synced together at most.
const GROUP: usize = 64;

impl DiskWriter {
    /// Starts the thread; each group's last ticket goes back as an input.
    pub fn start(mut storage: DiskLogStorage, inputs: mpsc::Sender<SchedulerInput>) -> Result<Self, DaemonError> {
        let (requests, inbox) = std::sync::mpsc::channel::<PersistRequest>();
        let run = move || {
            while let Ok(first) = inbox.recv() {
                let mut group = vec![first];
                group.extend(inbox.try_iter().take(GROUP - 1));
                let Some(last) = group.last() else { continue };
                let ticket = last.ticket;
                counter!("disk_writes_total").increment(group.len() as u64);
                counter!("disk_syncs_total").increment(1);
                if let Err(e) = storage.write_all(&group) {
                    error!(error = %e, "disk write error: ending");
                    return;
                }
                if inputs.blocking_send(SchedulerInput::Persisted(ticket)).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("disk-writer".into()).spawn(run).context(crate::daemon_error::ThreadSnafu)?;
        Ok(DiskWriter { requests })
    }

    /// Hands a write over.
    pub fn write(&self, r: PersistRequest) -> Result<(), DaemonError> {
        self.requests.send(r).ok().context(crate::daemon_error::DiskGoneSnafu)
    }
}
