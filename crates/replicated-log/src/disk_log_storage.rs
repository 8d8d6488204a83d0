use crate::prelude::*;

/// The one table: keys as below, values as stored records.
const RECORDS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("records");
/// The store's file in its folder.
const FILE_NAME: &str = "records.redb";
/// Added to the name of a file that is put aside.
const ASIDE_SUFFIX: &str = "aside";
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

/// A storage in one file. Each group of writes is one transaction, synced before it is acknowledged: a loss of power leaves
/// the last acknowledged state or a later one, never a part.
#[derive(Debug)]
pub struct DiskLogStorage {
    db: Database,
    chunk_bytes: usize,
}

/// What the store says when something goes wrong.
fn store<T, E: Into<redb::Error>>(result: Result<T, E>) -> Result<T, StorageError> {
    result.map_err(|e| StorageError::Store { source: Box::new(e.into()) })
}

impl DiskLogStorage {
    /// Opens or makes the store in a folder. One that can't be read is put aside: this member then comes back as a new one,
    /// as after the loss of its disk.
    ///
    /// # Errors
    /// When the folder or the file can't be made.
    pub fn open(folder: &Path, settings: &LogSettings) -> Result<Self, StorageError> {
        std::fs::create_dir_all(folder).context(crate::storage_error::FolderSnafu)?;
        let file = folder.join(FILE_NAME);
        let opened = Self::open_file(&file, settings);
        let storage = match opened {
            Err(StorageError::Store { source }) if is_damage(&source) => {
                Self::put_aside(folder)?;
                Self::open_file(&file, settings)?
            }
            other => other?,
        };
        sync_folders(folder);
        Ok(storage)
    }

    /// Opens the store that this process has had open before. It is not put aside when it can't be read: what this process has
    /// acknowledged stands in it.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn reopen(folder: &Path, settings: &LogSettings) -> Result<Self, StorageError> {
        Self::open_file(&folder.join(FILE_NAME), settings)
    }

    /// Renames the store's file, so that the next process comes up with an empty store and a new id.
    ///
    /// # Errors
    /// When the file can't be renamed.
    pub fn put_aside(folder: &Path) -> Result<(), StorageError> {
        let file = folder.join(FILE_NAME);
        std::fs::rename(&file, file.with_extension(ASIDE_SUFFIX)).context(crate::storage_error::FolderSnafu)?;
        sync_folders(folder);
        Ok(())
    }

    fn open_file(file: &Path, settings: &LogSettings) -> Result<Self, StorageError> {
        let db = store(Database::builder().set_cache_size(settings.store_cache_bytes as usize).create(file))?;
        Self::of(db, settings)
    }

    /// A store over any backend: a file, or a simulated disk.
    ///
    /// # Errors
    /// When the backend holds no store that can be read.
    pub fn with_backend(backend: impl StorageBackend, settings: &LogSettings) -> Result<Self, StorageError> {
        let db = store(Database::builder().set_cache_size(settings.store_cache_bytes as usize).create_with_backend(backend))?;
        Self::of(db, settings)
    }

    fn of(db: Database, settings: &LogSettings) -> Result<Self, StorageError> {
        let storage = Self { db, chunk_bytes: max(1, settings.snapshot_chunk_bytes) };
        // The table is there from the first on, so that reads need not make it.
        storage.write_table(|_| Ok(()))?;
        Ok(storage)
    }

    /// Who this member is; none in a fresh folder.
    pub fn identity(&self) -> Result<Option<NodeId>, StorageError> {
        self.record(IDENTITY_KEY)
    }

    /// Stores who this member is, synced. The caller draws the id at random for
    /// a fresh folder, so that a lost disk never comes back as its old self.
    pub fn set_identity(&mut self, id: NodeId) -> Result<(), StorageError> {
        self.put(IDENTITY_KEY, &StoredRecord::encode(&id))
    }

    /// Stores a record's bytes as they are, or removes it, synced.
    pub fn put(&self, key: &[u8], record: &[u8]) -> Result<(), StorageError> {
        self.write_table(|table| match record.is_empty() {
            true => store(table.remove(key)).map(drop),
            false => store(table.insert(key, record)).map(drop),
        })
    }

    /// A record's bytes as they are.
    pub fn bytes(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        let table = self.read_table()?;
        Ok(store(table.get(key))?.map(|v| v.value().to_vec()))
    }

    fn record<T: for<'b> Decode<'b, ()>>(&self, key: &[u8]) -> Result<Option<T>, StorageError> {
        self.bytes(key)?.map(|bytes| StoredRecord::decode(&bytes)).transpose()
    }

    fn read_table(&self) -> Result<ReadOnlyTable<&'static [u8], &'static [u8]>, StorageError> {
        let read = store(self.db.begin_read())?;
        store(read.open_table(RECORDS))
    }

    /// Changes the table in one transaction, which is synced on return.
    fn write_table(
        &self,
        change: impl FnOnce(&mut Table<'_, &'static [u8], &'static [u8]>) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let write = store(self.db.begin_write())?;
        {
            let mut table = store(write.open_table(RECORDS))?;
            change(&mut table)?;
        }
        store(write.commit())
    }

    fn put_snapshot(&self, snapshot: &Snapshot, table: &mut Table<'_, &'static [u8], &'static [u8]>) -> Result<(), StorageError> {
        let pieces = [CHUNK_PREFIX];
        store(table.retain_in::<&[u8], _>(pieces.as_slice()..[CHUNK_PREFIX + 1].as_slice(), |_, _| false))?;
        let head = Snapshot { bytes: Vec::new(), ..snapshot.clone() };
        let total = snapshot.bytes.len() as u64;
        store(table.insert(SNAPSHOT_HEAD_KEY, StoredRecord::encode(&(head, total)).as_slice()))?;
        for (number, piece) in (0u32..).zip(snapshot.bytes.chunks(self.chunk_bytes)) {
            let piece = StoredRecord::encode(&minicbor::bytes::ByteVec::from(piece.to_vec()));
            store(table.insert(chunk_key(snapshot.index, number).as_slice(), piece.as_slice()))?;
        }
        Ok(())
    }

    fn apply(&self, request: &PersistRequest, table: &mut Table<'_, &'static [u8], &'static [u8]>) -> Result<(), StorageError> {
        if let Some(snapshot) = &request.snapshot {
            self.put_snapshot(snapshot, table)?;
        }
        let none = |_: &[u8], _: &[u8]| false;
        if let Some(from) = request.truncate_from {
            store(table.retain_in::<&[u8], _>(entry_key(from).as_slice()..[ENTRY_PREFIX + 1].as_slice(), none))?;
        }
        for entry in &request.entries {
            store(table.insert(entry_key(entry.index).as_slice(), StoredRecord::encode(entry).as_slice()))?;
        }
        if let Some(to) = request.compact_to {
            store(table.retain_in::<&[u8], _>(entry_key(0).as_slice()..=entry_key(to).as_slice(), none))?;
        }
        if let Some(hard_state) = &request.hard_state {
            store(table.insert(HARD_STATE_KEY, StoredRecord::encode(hard_state).as_slice()))?;
        }
        Ok(())
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
        let table = self.read_table()?;
        for pair in store(table.range::<&[u8]>([ENTRY_PREFIX].as_slice()..[ENTRY_PREFIX + 1].as_slice()))? {
            let (key, value) = store(pair)?;
            let (key, value) = (key.value(), value.value());
            let digits: [u8; 8] = key[1..].try_into().ok().context(crate::storage_error::UnknownKeySnafu { bytes: key.len() })?;
            let entry: LogEntry = StoredRecord::decode(value)?;
            let index = Index::from_be_bytes(digits);
            let wanted = entries.last().map_or(index, |e| e.index + 1);
            let fits = entry.index == index && index == wanted;
            ensure!(fits, crate::storage_error::GapSnafu { wanted, found: entry.index });
            entries.push(entry);
        }
        Ok(entries)
    }
}

/// Whether an error says that a file holds no store that can be read.
fn is_damage(e: &redb::Error) -> bool {
    match e {
        redb::Error::Corrupted(_) | redb::Error::RepairAborted | redb::Error::UpgradeRequired(_) => true,
        redb::Error::Io(e) => matches!(e.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof),
        _ => false,
    }
}

/// Syncs a folder and those above it, so that a file made in it lasts. Where a folder can't be synced, the file's own sync
/// has to do.
fn sync_folders(folder: &Path) {
    for folder in folder.ancestors().take(FOLDERS_SYNCED) {
        let synced = std::fs::File::open(folder).and_then(|f| f.sync_all());
        if synced.is_err() {
            return;
        }
    }
}

/// The store's folder and the data folder that it stands in.
const FOLDERS_SYNCED: usize = 2;

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

impl LogStorage for DiskLogStorage {
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
        self.write_table(|table| requests.iter().try_for_each(|r| self.apply(r, table)))
    }
}
