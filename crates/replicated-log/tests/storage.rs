//! Both storages: what was written is there, what is broken is named.

use replicated_log::prelude::*;

fn entry(term: Term, index: Index) -> LogEntry {
    let body = LogEntryBody::Command(vec![index as u8; 20]);
    LogEntry { term, index, log_time: index * 10, body }
}

fn founding() -> RestoredState {
    let home = |id| (id, MemberAddress::new(format!("127.0.0.{id}:1"), "a"));
    RestoredState::founding(Membership::of_voters((1..=3).map(home)))
}

/// Writes of every kind, in the order a replica might ask for them.
fn writes() -> Vec<PersistRequest> {
    let base = PersistRequest::default;
    let hard_state = Some(HardState { term: 4, voted_for: Some(2), led: false });
    let Some(mut snapshot) = founding().snapshot else { unreachable!() };
    (snapshot.index, snapshot.term, snapshot.bytes) = (6, 2, (0..1000).map(|b| b as u8).collect());
    let far = Snapshot { index: 20, term: 4, bytes: vec![9; 33], ..snapshot.clone() };
    vec![
        founding().as_request(),
        PersistRequest { ticket: 1, entries: (1..=8).map(|i| entry(1, i)).collect(), ..base() },
        PersistRequest { ticket: 2, hard_state, truncate_from: Some(5), entries: (5..=300).map(|i| entry(2, i)).collect(), ..base() },
        PersistRequest { ticket: 3, snapshot: Some(Arc::new(snapshot)), compact_to: Some(4), ..base() },
        PersistRequest { ticket: 4, snapshot: Some(Arc::new(far)), truncate_from: Some(0), entries: vec![entry(4, 21)], ..base() },
    ]
}

fn settings() -> LogSettings {
    LogSettings { snapshot_chunk_bytes: 64, ..LogSettings::default() }
}

#[test]
fn the_disk_gives_back_what_memory_gives_back_after_each_write_and_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let mut memory = MemoryLogStorage::default();
    for request in writes() {
        memory.write(&request).unwrap();
        let mut disk = reopen(folder.path());
        disk.write(&request).unwrap();
        assert_eq!(disk.load().unwrap(), memory.load().unwrap());
        drop(disk);
        let reopened = reopen(folder.path());
        assert_eq!(reopened.load().unwrap(), memory.load().unwrap(), "ticket {}", request.ticket);
    }
}

#[test]
fn a_group_of_writes_is_the_same_as_one_by_one() {
    let (one, group) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut first = DiskLogStorage::open(one.path(), &settings()).unwrap();
    let mut second = DiskLogStorage::open(group.path(), &settings()).unwrap();
    for request in writes() {
        first.write(&request).unwrap();
    }
    second.write_all(&writes()).unwrap();
    assert_eq!(first.load().unwrap(), second.load().unwrap());
}

#[test]
fn a_fresh_folder_has_no_identity_and_keeps_the_one_it_gets() {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = reopen(folder.path());
    assert_eq!(disk.identity().unwrap(), None);
    assert!(disk.load().unwrap().is_empty());
    disk.set_identity(0xfeed_beef).unwrap();
    drop(disk);
    let disk = reopen(folder.path());
    assert_eq!(disk.identity().unwrap(), Some(0xfeed_beef));
}

fn reopen(folder: &Path) -> DiskLogStorage {
    DiskLogStorage::open(folder, &settings()).unwrap()
}

/// Opens the folder, changes single records, and gives what loading says.
fn load_after(change: impl Fn(&DiskLogStorage)) -> Result<RestoredState, StorageError> {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = reopen(folder.path());
    storage.write_all(&writes()[..4]).unwrap();
    change(&storage);
    drop(storage);
    reopen(folder.path()).load()
}

fn key(index: Index) -> Vec<u8> {
    [b"e".as_slice(), &index.to_be_bytes()].concat()
}

#[test]
fn broken_records_are_named() {
    assert!(load_after(|_| ()).is_ok());
    let flip = |place: usize| {
        move |db: &DiskLogStorage| {
            let mut bytes = db.bytes(&key(9)).unwrap().unwrap();
            bytes[place] ^= 0x40;
            db.put(&key(9), &bytes).unwrap();
        }
    };
    assert!(matches!(load_after(flip(12)), Err(StorageError::BadChecksum { .. })));
    assert!(matches!(load_after(flip(0)), Err(StorageError::UnknownVersion { version: 0x41 })));
    let cut = load_after(|db| db.put(&key(9), &[1, 2]).unwrap());
    assert!(matches!(cut, Err(StorageError::TooShort { bytes: 2 })));
    let gap = load_after(|db| db.put(&key(9), &[]).unwrap());
    assert!(matches!(gap, Err(StorageError::Gap { wanted: 9, found: 10 })));
    let early = load_after(|db| (5..=7).for_each(|i| db.put(&key(i), &[]).unwrap()));
    assert!(matches!(early, Err(StorageError::Gap { wanted: 7, found: 8 })));
    let piece = [b"c".as_slice(), &6u64.to_be_bytes(), &3u32.to_be_bytes()].concat();
    let hole = load_after(move |db| db.put(&piece, &[]).unwrap());
    assert!(matches!(hole, Err(StorageError::SnapshotIncomplete { wanted: 1000, found: 192 })));
}

#[test]
fn a_crash_loses_what_is_not_synced_and_a_tear_drops_the_cut_write_whole() {
    let mut memory = MemoryLogStorage::new(founding());
    let request = |index| PersistRequest { ticket: index, entries: vec![entry(1, index)], ..Default::default() };
    memory.stage(request(1));
    assert_eq!(memory.sync(), Some(1));
    for index in 2..=4 {
        memory.stage(request(index));
    }
    memory.tear(1, 9);
    assert_eq!((memory.torn(), memory.unsynced()), (1, 0));
    assert_eq!(memory.load().unwrap().entries, [entry(1, 1), entry(1, 2)]);
    memory.stage(request(3));
    memory.crash();
    assert_eq!(memory.sync(), None);
    assert_eq!(memory.load().unwrap().entries.len(), 2);
}

#[test]
fn a_replica_goes_on_from_a_folder() {
    let folder = tempfile::tempdir().unwrap();
    let home = MemberAddress::new("127.0.0.1:1", "a");
    let alone = RestoredState::founding(Membership::of_voters([(1, home)]));
    let mut storage = reopen(folder.path());
    storage.write(&alone.as_request()).unwrap();
    let mut last = 0;
    for life in 1..=3u64 {
        let restored = storage.load().unwrap();
        let known = restored.entries.last().map_or(0, |e| e.log_time);
        let random = ChaCha8Rng::seed_from_u64(life);
        let mut replica = Replica::new(settings(), 7, 1, restored, 0, random);
        let mut inputs = VecDeque::from([Input::Tick { wall_ms: 5 }]);
        let mut committed = 0;
        while let Some(input) = inputs.pop_front() {
            for effect in replica.step(2000, input) {
                match effect {
                    Effect::Persist(request) => {
                        storage.write(&request).unwrap();
                        inputs.push_back(Input::Persisted { ticket: request.ticket });
                    }
                    Effect::BecameLeader { .. } => {
                        inputs.push_back(Input::Propose { token: 1, command: vec![life as u8; 9] });
                    }
                    Effect::Commit { entries } => committed += entries.len(),
                    _ => {}
                }
            }
        }
        last += 2;
        assert_eq!((replica.term(), replica.commit_index()), (life, last));
        assert_eq!(committed as u64, last, "all entries are handed out again");
        assert!(replica.log_time(2000) >= known + 2000);
        drop(replica);
        drop(storage);
        storage = reopen(folder.path());
    }
}
