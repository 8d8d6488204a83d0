use crate::prelude::*;

/// Version of stored records; the first byte of each.
pub const RECORD_VERSION: u8 = 1;
/// The version byte and the checksum.
const HEAD_BYTES: usize = 5;

/// A value framed for the disk: version, checksum, bytes.
///
/// ```
/// use replicated_log::prelude::*;
/// let hard_state = HardState { term: 3, voted_for: Some(2), led: false };
/// let mut bytes = StoredRecord::encode(&hard_state);
/// assert_eq!(StoredRecord::decode::<HardState>(&bytes).unwrap(), hard_state);
/// bytes[6] ^= 1;
/// assert!(matches!(StoredRecord::decode::<HardState>(&bytes), Err(StorageError::BadChecksum { .. })));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct StoredRecord;

impl StoredRecord {
    /// The frame of a value.
    pub fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        if let Err(error) = minicbor::encode(value, &mut bytes) {
            unreachable!("encoding into memory: {error}");
        }
        bytes[0] = RECORD_VERSION;
        let checksum = Self::checksum(&bytes).to_be_bytes();
        bytes[1..HEAD_BYTES].copy_from_slice(&checksum);
        bytes
    }

    /// The value of a frame.
    pub fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, StorageError> {
        let (head, rest) = bytes.split_first_chunk::<HEAD_BYTES>().context(crate::storage_error::TooShortSnafu { bytes: bytes.len() })?;
        let version = head[0];
        let known = version == RECORD_VERSION;
        ensure!(known, crate::storage_error::UnknownVersionSnafu { version });
        let found = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        let computed = Self::checksum(bytes);
        let sound = found == computed;
        ensure!(sound, crate::storage_error::BadChecksumSnafu { found, computed });
        let mut decoder = minicbor::Decoder::new(rest);
        let value = decoder.decode().context(crate::storage_error::MalformedSnafu)?;
        let count = rest.len() - decoder.position();
        ensure!(count == 0, crate::storage_error::TrailingBytesSnafu { count });
        Ok(value)
    }

    /// Checksum over the version byte and all that follows the checksum.
    fn checksum(bytes: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&bytes[..1]);
        hasher.update(&bytes[HEAD_BYTES..]);
        hasher.finalize()
    }
}
