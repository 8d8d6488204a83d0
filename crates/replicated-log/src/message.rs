use crate::prelude::*;

/// Version of the bytes on the wire; the first byte of each message.
pub const WIRE_VERSION: u8 = 1;

/// A message from one member to another.
///
/// ```
/// use replicated_log::prelude::*;
/// let message = Message { cluster: 7, from: 1, to: 2, term: 3, body: MessageBody::TimeoutNow };
/// let mut bytes = message.to_bytes();
/// assert_eq!(Message::from_bytes(&bytes).unwrap(), message);
/// bytes[0] = 99;
/// assert!(matches!(Message::from_bytes(&bytes), Err(MessageError::UnknownVersion { version: 99 })));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Message {
    /// The cluster both belong to.
    #[n(0)]
    pub cluster: ClusterId,
    /// The sender.
    #[n(1)]
    pub from: NodeId,
    /// The receiver meant; a machine with a new disk is not the old one.
    #[n(2)]
    pub to: NodeId,
    /// The sender's term.
    #[n(3)]
    pub term: Term,
    /// What is said.
    #[n(4)]
    pub body: MessageBody,
}

impl Message {
    /// The version byte and the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![WIRE_VERSION];
        let Ok(()) = minicbor::encode(self, &mut bytes).map_err(infallible);
        bytes
    }

    /// Reads what `to_bytes` wrote, and nothing else.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        let (version, rest) = bytes.split_first().context(crate::message_error::EmptySnafu)?;
        ensure!(*version == WIRE_VERSION, crate::message_error::UnknownVersionSnafu { version: *version });
        let mut decoder = minicbor::Decoder::new(rest);
        let message = decoder.decode().context(crate::message_error::MalformedSnafu)?;
        let count = rest.len() - decoder.position();
        ensure!(count == 0, crate::message_error::TrailingBytesSnafu { count });
        Ok(message)
    }
}

/// Writing into memory has no error but one of the derived code itself.
fn infallible(error: minicbor::encode::Error<Infallible>) -> Infallible {
    unreachable!("encoding into memory: {error}")
}
