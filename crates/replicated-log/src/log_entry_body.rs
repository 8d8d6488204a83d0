use crate::prelude::*;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum LogEntryBody {
    /// The first entry of a leader's term; it carries nothing.
    #[n(0)]
    Noop,
    /// A command for the state machine.
    #[n(1)]
    Command(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The whole membership in force from this entry on.
    #[n(2)]
    Membership(#[n(0)] Membership),
}
