use crate::prelude::*;

/// Writes and syncs in a thread of its own, in order; writes that wait are synced together.
pub struct DiskWriter {
    requests: std::sync::mpsc::Sender<PersistRequest>,
}

/// Writes synced together at most.
const GROUP: usize = 64;
/// A full disk is tried again this often.
pub(crate) const FULL_RETRY: Duration = Duration::from_millis(100);

impl DiskWriter {
    /// Starts the thread; each group's last ticket goes back as an input. While the disk is full nothing is acknowledged, as
    /// while it hangs, and the writes wait.
    pub fn start(mut storage: ReopeningStorage, inputs: mpsc::Sender<SchedulerInput>) -> Result<Self, DaemonError> {
        let (requests, inbox) = std::sync::mpsc::channel::<PersistRequest>();
        let run = move || {
            while let Ok(first) = inbox.recv() {
                let mut group = vec![first];
                group.extend(inbox.try_iter().take(GROUP - 1));
                let Some(last) = group.last() else { continue };
                let ticket = last.ticket;
                counter!("disk_writes_total").increment(group.len() as u64);
                counter!("disk_syncs_total").increment(1);
                if let Err(e) = Self::write_group(&mut storage, &group) {
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

    /// Writes a group, as soon as the disk has room.
    fn write_group(storage: &mut ReopeningStorage, group: &[PersistRequest]) -> Result<(), StorageError> {
        let mut full = false;
        loop {
            match storage.write_all(group) {
                Err(e) if e.is_full() => {
                    if !std::mem::replace(&mut full, true) {
                        warn!(error = %e, "the disk is full: nothing is acknowledged until it has room");
                        gauge!("disk_full").set(1.0);
                    }
                    thread::sleep(FULL_RETRY);
                }
                other => {
                    if full {
                        info!("the disk takes writes again");
                        gauge!("disk_full").set(0.0);
                    }
                    return other;
                }
            }
        }
    }

    /// Hands a write over.
    pub fn write(&self, r: PersistRequest) -> Result<(), DaemonError> {
        self.requests.send(r).ok().context(crate::daemon_error::DiskGoneSnafu)
    }
}
