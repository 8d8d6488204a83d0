use crate::support::prelude::*;

/// Bytes a snapshot has besides its content, so that it goes in pieces.
const PADDING: usize = 300;

/// Wrong executors, planted to see the checker fire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// A sound executor.
    #[default]
    None,
    /// Acknowledges entries it never writes.
    AcksWithoutStoring,
    /// Forgets term and vote in a crash.
    ForgetsVotes,
    /// Its clock runs three times too fast.
    FastClock,
    /// Says after a crash that it led, though another did.
    ClaimsLead,
}

/// One machine: replica, disk, clocks and a state machine.
pub struct Node {
    pub id: NodeId,
    pub replica: Option<Replica<ChaCha8Rng>>,
    pub storage: MemoryLogStorage,
    /// Counts starts; events of an earlier life are dropped.
    pub life: u64,
    pub frozen_until: Millis,
    /// Its clock is `offset` ahead and runs at `rate` thousandths.
    pub offset: Millis,
    pub rate: u64,
    pub wall_jump: Millis,
    pub slow_disk_ms: Millis,
    /// Writes the running sync covers.
    pub syncing: usize,
    pub fault: Fault,
    pub applied: Index,
    pub digest: u64,
    pub lost: bool,
}

impl Node {
    pub fn new(id: NodeId, state: RestoredState, offset: Millis, rate: u64) -> Self {
        Self {
            id,
            replica: None,
            storage: MemoryLogStorage::new(state),
            life: 0,
            frozen_until: 0,
            offset,
            rate,
            wall_jump: 0,
            slow_disk_ms: 0,
            syncing: 0,
            fault: Fault::None,
            applied: 0,
            digest: 0,
            lost: false,
        }
    }

    /// Its monotonic clock at a true time.
    pub fn clock(&self, now: Millis) -> Millis {
        let rate = if self.fault == Fault::FastClock { 3000 } else { self.rate };
        self.offset + now * rate / 1000
    }

    pub fn start(&mut self, settings: &LogSettings, now: Millis, seed: u64) {
        let Ok(restored) = self.storage.load() else { unreachable!("memory loads") };
        self.life += 1;
        self.syncing = 0;
        (self.applied, self.digest) = match &restored.snapshot {
            Some(s) if s.index > 0 => (s.index, digest_of(&s.bytes)),
            _ => (0, 0),
        };
        let random = ChaCha8Rng::seed_from_u64(seed);
        let clock = self.clock(now);
        let replica = Replica::new(settings.clone(), 7, self.id, restored, clock, random);
        self.replica = Some(replica);
    }

    pub fn crash(&mut self) {
        self.replica = None;
        self.life += 1;
        self.storage.crash();
        if self.fault == Fault::ForgetsVotes {
            let mut state = self.storage.synced_state().clone();
            state.hard_state = HardState::default();
            self.storage = MemoryLogStorage::new(state);
        }
        if self.fault == Fault::ClaimsLead {
            let mut state = self.storage.synced_state().clone();
            state.hard_state.led = true;
            self.storage = MemoryLogStorage::new(state);
        }
    }

    /// What its state machine gives as a snapshot.
    pub fn snapshot_bytes(&self) -> Vec<u8> {
        let mut bytes = self.digest.to_be_bytes().to_vec();
        bytes.resize(8 + PADDING, 0);
        bytes
    }

    /// Whether its disk holds an entry for sure, or held it when it was lost: the
    /// acknowledgement may have been on its way.
    pub fn holds(&self, entry: &LogEntry) -> bool {
        let state = self.storage.synced_state();
        let covered = state.snapshot.as_ref().is_some_and(|s| s.index >= entry.index);
        let place = state.entries.first().and_then(|f| entry.index.checked_sub(f.index));
        let stored = place.and_then(|p| state.entries.get(p as usize));
        covered || stored.is_some_and(|e| e.term == entry.term)
    }
}

pub fn digest_of(bytes: &[u8]) -> u64 {
    bytes.first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
}
