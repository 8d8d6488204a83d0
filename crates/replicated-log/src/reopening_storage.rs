use crate::prelude::*;

/// A storage that outlives a full disk. The store can't be used any more once a write of it has failed: it is dropped, and
/// opened anew before the next one, with the last state that was synced. A write that failed may be tried again, since what
/// it brings is put under the same keys.
pub struct ReopeningStorage {
    open: OpenStorage,
    storage: Option<DiskLogStorage>,
}

/// Opens the store anew.
type OpenStorage = Box<dyn FnMut() -> Result<DiskLogStorage, StorageError> + Send>;

impl ReopeningStorage {
    /// Over an open storage, and the way to open it again.
    pub fn new(storage: DiskLogStorage, open: impl FnMut() -> Result<DiskLogStorage, StorageError> + Send + 'static) -> Self {
        ReopeningStorage { open: Box::new(open), storage: Some(storage) }
    }

    /// Writes and syncs all of a group, or none of it.
    ///
    /// # Errors
    /// Of [`StorageError::is_full`], when the disk takes no more: the same group may be written later. Any other error is final.
    pub fn write_all(&mut self, group: &[PersistRequest]) -> Result<(), StorageError> {
        let mut storage = match self.storage.take() {
            Some(storage) => storage,
            None => (self.open)()?,
        };
        storage.write_all(group)?;
        self.storage = Some(storage);
        Ok(())
    }
}
