use crate::prelude::*;

/// What can go wrong with stored records.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StorageError {
    /// The store itself.
    #[snafu(display("the store reports: {source}"))]
    Store {
        /// What it said.
        source: Box<redb::Error>,
    },
    /// The folder, or a file in it.
    #[snafu(display("the store's folder: {source}"))]
    Folder {
        /// What the system said.
        source: std::io::Error,
    },
    /// Too few bytes for a record.
    #[snafu(display("a record of {bytes} bytes is too short"))]
    TooShort {
        /// Bytes found.
        bytes: usize,
    },
    /// A version this build does not know.
    #[snafu(display("a record has version {version}, this build knows {RECORD_VERSION}"))]
    UnknownVersion {
        /// The version found.
        version: u8,
    },
    /// The checksum does not fit.
    #[snafu(display("a record's checksum is {found:#010x}, its bytes give {computed:#010x}"))]
    BadChecksum {
        /// Stored.
        found: u32,
        /// Computed.
        computed: u32,
    },
    /// The bytes don't decode.
    #[snafu(display("a record does not decode: {source}"))]
    Malformed {
        /// What the decoder said.
        source: minicbor::decode::Error,
    },
    /// Bytes follow the record.
    #[snafu(display("{count} bytes follow a record"))]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// An entry lies under another key, or one is missing.
    #[snafu(display("entry {found} where {wanted} should be"))]
    Gap {
        /// Index that should be there.
        wanted: Index,
        /// Index found.
        found: Index,
    },
    /// Pieces of the snapshot are missing.
    #[snafu(display("the snapshot has {found} bytes of {wanted}"))]
    SnapshotIncomplete {
        /// Bytes it should have.
        wanted: u64,
        /// Bytes found.
        found: u64,
    },
    /// A key that no build of ours wrote.
    #[snafu(display("an unknown key of {bytes} bytes"))]
    UnknownKey {
        /// Its length.
        bytes: usize,
    },
}

impl StorageError {
    /// Whether the disk takes no more bytes for now, which passes without harm.
    pub fn is_full(&self) -> bool {
        let full = |e: &std::io::Error| matches!(e.kind(), std::io::ErrorKind::StorageFull | std::io::ErrorKind::QuotaExceeded);
        match self {
            StorageError::Store { source } => matches!(source.as_ref(), redb::Error::Io(e) if full(e)),
            StorageError::Folder { source } => full(source),
            _ => false,
        }
    }
}
