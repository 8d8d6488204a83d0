use crate::prelude::*;

/// Where a replica's writes go.
pub trait LogStorage {
    /// What can go wrong.
    type Error: Debug;

    /// What was stored.
    fn load(&self) -> Result<RestoredState, Self::Error>;

    /// Stores atomically; durable on return.
    fn write(&mut self, request: &PersistRequest) -> Result<(), Self::Error> {
        self.write_all(std::slice::from_ref(request))
    }

    /// Stores several writes in order with one sync (group commit); all are
    /// durable on return, and after a crash a prefix of them is.
    fn write_all(&mut self, requests: &[PersistRequest]) -> Result<(), Self::Error>;
}
