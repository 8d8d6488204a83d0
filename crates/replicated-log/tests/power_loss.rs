//! The store on a disk that loses power: of what was written after the last sync, each write may be present, missing or torn.

use rand_chacha::rand_core::RngCore;
use replicated_log::prelude::*;
use std::sync::{Mutex, PoisonError};

/// What a disk has been told since its last sync.
#[derive(Clone, Debug)]
enum Unsynced {
    Write(u64, Vec<u8>),
    Length(u64),
}

/// A disk in memory.
#[derive(Clone, Debug, Default)]
struct Disk {
    state: Arc<Mutex<DiskState>>,
}

#[derive(Debug, Default)]
struct DiskState {
    synced: Vec<u8>,
    seen: Vec<u8>,
    unsynced: Vec<Unsynced>,
    /// Operations until the power fails; none: it doesn't.
    power_for: Option<u64>,
}

fn apply(bytes: &mut Vec<u8>, change: &Unsynced) {
    match change {
        Unsynced::Length(len) => bytes.resize(*len as usize, 0),
        Unsynced::Write(at, data) => {
            let end = *at as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(data);
        }
    }
}

impl Disk {
    fn state(&self) -> std::sync::MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The disk after the power has failed: a sequence of chances says what becomes of each unsynced write.
    fn after_power_loss(&self, random: &mut ChaCha8Rng) -> Disk {
        let old = self.state();
        let mut bytes = old.synced.clone();
        let none_lasts = random.next_u32().is_multiple_of(3);
        for change in old.unsynced.iter().filter(|_| !none_lasts) {
            match (random.next_u32() % 3, change) {
                (0, _) => {}
                (1, Unsynced::Write(at, data)) if data.len() > 1 => {
                    let cut = 1 + random.next_u32() as usize % (data.len() - 1);
                    apply(&mut bytes, &Unsynced::Write(*at, data[..cut].to_vec()));
                }
                _ => apply(&mut bytes, change),
            }
        }
        let state = DiskState { synced: bytes.clone(), seen: bytes, unsynced: Vec::new(), power_for: None };
        Disk { state: Arc::new(Mutex::new(state)) }
    }

    fn spend(&self) -> std::io::Result<()> {
        let mut s = self.state();
        match &mut s.power_for {
            Some(0) => Err(std::io::Error::other("no power")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn change(&self, change: Unsynced) -> std::io::Result<()> {
        self.spend()?;
        let mut s = self.state();
        apply(&mut s.seen, &change);
        s.unsynced.push(change);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.state().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let s = self.state();
        let from = s.seen.get(offset as usize..offset as usize + out.len());
        let from = from.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(from);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.change(Unsynced::Length(len))
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.spend()?;
        let mut s = self.state();
        s.synced = s.seen.clone();
        s.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.change(Unsynced::Write(offset, data.to_vec()))
    }
}

fn entries(from: Index, count: u64) -> Vec<LogEntry> {
    let body = |i: u64| LogEntryBody::Command(vec![i as u8; 30 + (i as usize * 37) % 900]);
    (from..from + count).map(|i| LogEntry { term: 1, index: i, log_time: i, body: body(i) }).collect()
}

fn settings() -> LogSettings {
    LogSettings { snapshot_chunk_bytes: 4_096, ..LogSettings::default() }
}

/// Writes until the power fails; what was acknowledged by then.
fn write_until_dark(disk: &Disk, last: u64) -> u64 {
    let Ok(mut storage) = DiskLogStorage::with_backend(disk.clone(), &settings()) else { return 0 };
    let mut acknowledged = 0;
    for ticket in 1..=last {
        let mut request = PersistRequest { ticket, entries: entries(ticket * 3 - 2, 3), ..PersistRequest::default() };
        if ticket % 8 == 0 {
            let Some(mut snapshot) = RestoredState::founding(Membership::of_voters([(1, MemberAddress::new("a:1", "a"))])).snapshot else {
                unreachable!()
            };
            (snapshot.index, snapshot.term, snapshot.bytes) = (ticket * 3 - 6, 1, vec![ticket as u8; 9_000]);
            request.compact_to = Some(ticket * 3 - 9);
            request.snapshot = Some(Arc::new(snapshot));
        }
        if storage.write(&request).is_err() {
            return acknowledged;
        }
        acknowledged = ticket;
    }
    acknowledged
}

#[test]
fn what_was_acknowledged_is_there_after_the_power_failed_at_any_point() {
    let whole = Disk::default();
    assert_eq!(write_until_dark(&whole, 24), 24);
    let mut points = 0;
    for seed in 0..4 {
        for power_for in (0..2_000).step_by(3) {
            let mut random = ChaCha8Rng::seed_from_u64(seed * 10_000 + power_for);
            let disk = Disk::default();
            disk.state().power_for = Some(power_for);
            let acknowledged = write_until_dark(&disk, 24);
            let after = disk.after_power_loss(&mut random);
            let storage = match DiskLogStorage::with_backend(after, &settings()) {
                Ok(storage) => storage,
                Err(e) => {
                    assert_eq!(acknowledged, 0, "seed {seed}, power for {power_for}: {e}");
                    continue;
                }
            };
            let found = storage.load().unwrap_or_else(|e| panic!("seed {seed}, power for {power_for}: {e}"));
            let newest = found.entries.last().map_or(0, |e| e.index);
            assert!(newest >= acknowledged * 3, "seed {seed}, power for {power_for}: {newest} of {}", acknowledged * 3);
            points += 1;
            if acknowledged == 24 {
                break;
            }
        }
    }
    assert!(points > 250, "{points}");
}
