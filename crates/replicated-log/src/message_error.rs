use crate::prelude::*;

/// Why bytes are no message of ours.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MessageError {
    /// No bytes at all.
    #[snafu(display("the message is empty"))]
    Empty,
    /// A version this build does not speak.
    #[snafu(display("the message has wire version {version}, this build speaks {WIRE_VERSION}"))]
    UnknownVersion {
        /// The version seen.
        version: u8,
    },
    /// The bytes don't decode.
    #[snafu(display("the message does not decode: {source}"))]
    Malformed {
        /// What the decoder said.
        source: minicbor::decode::Error,
    },
    /// Bytes follow the message.
    #[snafu(display("{count} bytes follow the message"))]
    TrailingBytes {
        /// How many.
        count: usize,
    },
}
