use crate::prelude::*;

/// Version of the frames between gateways and schedulers.
pub const WIRE_VERSION: u32 = 3;

/// Bytes that are no message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// Another version.
    #[snafu(display("wire version {found}, {WIRE_VERSION} wanted"))]
    Version { found: u32 },
    /// Too short to hold a version.
    #[snafu(display("{size} bytes hold no message"))]
    Short { size: usize },
    /// Not decodable.
    #[snafu(display("message can't be decoded: {source}"))]
    Decoding { source: minicbor::decode::Error },
    /// Bytes left over.
    #[snafu(display("{left} bytes left after the message"))]
    Trailing { left: usize },
}

/// A message with its version byte in front.
///
/// ```
/// use cluster_messages::{GatewayFrame, WireMessage};
/// let f = GatewayFrame::Pulse { stamp: 4, view: 9, configuration: 2 };
/// let bytes = f.to_bytes();
/// assert_eq!(GatewayFrame::from_bytes(&bytes).unwrap(), f);
/// assert!(GatewayFrame::from_bytes(&bytes[..2]).is_err());
/// ```
pub trait WireMessage: Sized + Encode<()> + for<'b> Decode<'b, ()> {
    /// Encodes it.
    fn to_bytes(&self) -> Vec<u8> {
        let mut v = vec![WIRE_VERSION as u8];
        // Writing into a Vec can't fail, and no type here sheds its own value.
        minicbor::encode(self, &mut v).unwrap_or_default();
        v
    }

    /// Decodes it; every byte must be used.
    fn from_bytes(b: &[u8]) -> Result<Self, WireError> {
        let (&v, rest) = b.split_first().context(ShortSnafu { size: b.len() })?;
        ensure!(u32::from(v) == WIRE_VERSION, VersionSnafu { found: u32::from(v) });
        let mut d = Decoder::new(rest);
        let m = d.decode().context(DecodingSnafu)?;
        let left = rest.len() - d.position();
        ensure!(left == 0, TrailingSnafu { left });
        Ok(m)
    }
}

impl WireMessage for GatewayFrame {}
impl WireMessage for SchedulerFrame {}
