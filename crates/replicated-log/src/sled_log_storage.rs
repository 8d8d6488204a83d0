use crate::prelude::*;

/// Key of term and vote.
const HARD_STATE_KEY: &[u8] = b"h";
/// Key of the record that says who this member is.
const IDENTITY_KEY: &[u8] = b"i";
/// Key of the snapshot without its bytes.
const SNAPSHOT_HEAD_KEY: &[u8] = b"s";
/// First byte of the keys of entries; the index follows, big-endian.
const ENTRY_PREFIX: u8 = b'e';
/// First byte of the keys of snapshot pieces; index and number follow.
const CHUNK_PREFIX: u8 = b'c';

/// A storage in a sled folder. Each write is one atomic batch, and is flushed
/// before it is acknowledged.
#[derive(Debug)]
pub struct SledLogStorage {
    db: sled::Db,
    chunk_bytes: usize,
}

impl SledLogStorage {
    /// Opens or makes the folder.
    pub fn open(folder: &Path, settings: &LogSettings) -> Result<Self, StorageError> {
        let db = sled::Config::new()
            .path(folder)
            .cache_capacity(settings.sled_cache_bytes)
            .flush_every_ms(None)
            .open()
            .context(crate::storage_error::StoreSnafu)?;
        Ok(Self { db, chunk_bytes: max(1, settings.snapshot_chunk_bytes) })
    }

    /// Who this member is; none in a fresh folder.
    pub fn identity(&self) -> Result<Option<NodeId>, StorageError> {
        self.record(IDENTITY_KEY)
    }

    /// Stores who this member is, synced. The caller draws the id at random for
    /// a fresh folder, so that a lost disk never comes back as its old self.
    pub fn set_identity(&mut self, id: NodeId) -> Result<(), StorageError> {
        let record = StoredRecord::encode(&id);
        self.db.insert(IDENTITY_KEY, record).context(crate::storage_error::StoreSnafu)?;
        self.flush()
    }

    fn record<T: for<'b> Decode<'b, ()>>(&self, key: &[u8]) -> Result<Option<T>, StorageError> {
        let value = self.db.get(key).context(crate::storage_error::StoreSnafu)?;
        value.map(|bytes| StoredRecord::decode(&bytes)).transpose()
    }

    fn flush(&self) -> Result<(), StorageError> {
        self.db.flush().context(crate::storage_error::StoreSnafu).map(drop)
    }

    fn keys_from(&self, start: Vec<u8>, prefix: u8) -> Result<Vec<sled::IVec>, StorageError> {
        let keys = self.db.range(start..vec![prefix + 1]).keys();
        keys.map(|key| key.context(crate::storage_error::StoreSnafu)).collect()
    }

    fn put_snapshot(&self, snapshot: &Snapshot, batch: &mut sled::Batch) -> Result<(), StorageError> {
        for key in self.keys_from(vec![CHUNK_PREFIX], CHUNK_PREFIX)? {
            batch.remove(key);
        }
        let head = Snapshot { bytes: Vec::new(), ..snapshot.clone() };
        let total = snapshot.bytes.len() as u64;
        batch.insert(SNAPSHOT_HEAD_KEY, StoredRecord::encode(&(head, total)));
        for (number, piece) in (0u32..).zip(snapshot.bytes.chunks(self.chunk_bytes)) {
            let piece = minicbor::bytes::ByteVec::from(piece.to_vec());
            batch.insert(chunk_key(snapshot.index, number), StoredRecord::encode(&piece));
        }
        Ok(())
    }

    fn apply(&self, request: &PersistRequest) -> Result<(), StorageError> {
        let mut batch = sled::Batch::default();
        if let Some(snapshot) = &request.snapshot {
            self.put_snapshot(snapshot, &mut batch)?;
        }
        if let Some(from) = request.truncate_from {
            for key in self.keys_from(entry_key(from), ENTRY_PREFIX)? {
                batch.remove(key);
            }
        }
        for entry in &request.entries {
            batch.insert(entry_key(entry.index), StoredRecord::encode(entry));
        }
        if let Some(to) = request.compact_to {
            let keys = self.db.range(entry_key(0)..=entry_key(to)).keys();
            for key in keys {
                batch.remove(key.context(crate::storage_error::StoreSnafu)?);
            }
        }
        if let Some(hard_state) = &request.hard_state {
            batch.insert(HARD_STATE_KEY, StoredRecord::encode(hard_state));
        }
        self.db.apply_batch(batch).context(crate::storage_error::StoreSnafu)
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>, StorageError> {
        let Some((mut head, total)) = self.record::<(Snapshot, u64)>(SNAPSHOT_HEAD_KEY)? else {
            return Ok(None);
        };
        for number in 0u32.. {
            let key = chunk_key(head.index, number);
            let Some(piece) = self.record::<minicbor::bytes::ByteVec>(&key)? else {
                break;
            };
            head.bytes.extend_from_slice(&piece);
        }
        let found = head.bytes.len() as u64;
        let whole = found == total;
        ensure!(whole, crate::storage_error::SnapshotIncompleteSnafu { wanted: total, found });
        Ok(Some(head))
    }

    fn load_entries(&self) -> Result<Vec<LogEntry>, StorageError> {
        let mut entries: Vec<LogEntry> = Vec::new();
        for pair in self.db.range(vec![ENTRY_PREFIX]..vec![ENTRY_PREFIX + 1]) {
            let (key, value) = pair.context(crate::storage_error::StoreSnafu)?;
            let digits: [u8; 8] = key[1..].try_into().ok().context(crate::storage_error::UnknownKeySnafu { bytes: key.len() })?;
            let entry: LogEntry = StoredRecord::decode(&value)?;
            let index = Index::from_be_bytes(digits);
            let wanted = entries.last().map_or(index, |e| e.index + 1);
            let fits = entry.index == index && index == wanted;
            ensure!(fits, crate::storage_error::GapSnafu { wanted, found: entry.index });
            entries.push(entry);
        }
        Ok(entries)
    }
}

fn entry_key(index: Index) -> Vec<u8> {
    let mut key = vec![ENTRY_PREFIX];
    key.extend_from_slice(&index.to_be_bytes());
    key
}

fn chunk_key(index: Index, number: u32) -> Vec<u8> {
    let mut key = vec![CHUNK_PREFIX];
    key.extend_from_slice(&index.to_be_bytes());
    key.extend_from_slice(&number.to_be_bytes());
    key
}

impl LogStorage for SledLogStorage {
    type Error = StorageError;

    fn load(&self) -> Result<RestoredState, StorageError> {
        let hard_state = self.record(HARD_STATE_KEY)?.unwrap_or_default();
        let snapshot = self.load_snapshot()?;
        let entries = self.load_entries()?;
        let base = snapshot.as_ref().map_or(0, |s| s.index);
        if let Some(first) = entries.first() {
            let joins = first.index <= base + 1;
            let (wanted, found) = (base + 1, first.index);
            ensure!(joins, crate::storage_error::GapSnafu { wanted, found });
        }
        Ok(RestoredState { hard_state, snapshot, entries })
    }

    fn write_all(&mut self, requests: &[PersistRequest]) -> Result<(), StorageError> {
        for request in requests {
            self.apply(request)?;
        }
        self.flush()
    }
}
