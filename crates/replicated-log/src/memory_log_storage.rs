use crate::prelude::*;

/// A storage for simulations: writes are lost in a crash until they are synced.
///
/// ```
/// use replicated_log::prelude::*;
/// let mut storage = MemoryLogStorage::new(RestoredState::joining());
/// let hard_state = Some(HardState { term: 2, ..HardState::default() });
/// storage.stage(PersistRequest { ticket: 1, hard_state, ..PersistRequest::default() });
/// storage.crash();
/// assert_eq!(storage.load().unwrap().hard_state.term, 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct MemoryLogStorage {
    synced: RestoredState,
    unsynced: VecDeque<PersistRequest>,
    /// Torn writes found and dropped at a crash.
    torn: u64,
}

impl MemoryLogStorage {
    /// A storage that holds a state.
    pub fn new(state: RestoredState) -> Self {
        Self { synced: state, ..Self::default() }
    }

    /// Takes a write without syncing it.
    pub fn stage(&mut self, request: PersistRequest) {
        self.unsynced.push_back(request);
    }

    /// Writes that are not synced.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Syncs all staged writes; says the last ticket.
    pub fn sync(&mut self) -> Option<Ticket> {
        self.sync_some(usize::MAX)
    }

    /// Syncs the oldest staged writes; says the last ticket of them.
    pub fn sync_some(&mut self, count: usize) -> Option<Ticket> {
        let mut last = None;
        for _ in 0..min(count, self.unsynced.len()) {
            let Some(request) = self.unsynced.pop_front() else {
                break;
            };
            last = Some(request.ticket);
            apply(&mut self.synced, request);
        }
        last
    }

    /// Loses what is not synced.
    pub fn crash(&mut self) {
        self.unsynced.clear();
    }

    /// Crashes in the middle of a write: some staged writes reached the disk, the
    /// next one only in part. Writes are atomic, so the part is recognised by its
    /// checksum and dropped whole, as a store's recovery does.
    pub fn tear(&mut self, whole: usize, cut: usize) {
        self.sync_some(whole);
        if let Some(request) = self.unsynced.front() {
            let records = request.entries.iter().map(StoredRecord::encode);
            for mut record in records {
                record.truncate(min(cut, record.len().saturating_sub(1)));
                if StoredRecord::decode::<LogEntry>(&record).is_err() {
                    self.torn += 1;
                }
            }
        }
        self.crash();
    }

    /// Torn records dropped.
    pub fn torn(&self) -> u64 {
        self.torn
    }

    /// What a crash now would leave.
    pub fn synced_state(&self) -> &RestoredState {
        &self.synced
    }
}

/// One atomic write upon a state, in the order `PersistRequest` states.
fn apply(state: &mut RestoredState, request: PersistRequest) {
    if let Some(snapshot) = request.snapshot {
        state.snapshot = Some(Arc::unwrap_or_clone(snapshot));
    }
    if let Some(from) = request.truncate_from {
        state.entries.retain(|e| e.index < from);
    }
    state.entries.extend(request.entries);
    if let Some(to) = request.compact_to {
        state.entries.retain(|e| e.index > to);
    }
    if let Some(hard_state) = request.hard_state {
        state.hard_state = hard_state;
    }
}

impl LogStorage for MemoryLogStorage {
    type Error = StorageError;

    fn load(&self) -> Result<RestoredState, StorageError> {
        Ok(self.synced.clone())
    }

    fn write_all(&mut self, requests: &[PersistRequest]) -> Result<(), StorageError> {
        for request in requests {
            self.stage(request.clone());
        }
        self.sync();
        Ok(())
    }
}
