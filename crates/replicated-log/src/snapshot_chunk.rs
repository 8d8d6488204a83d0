use crate::prelude::*;

/// A piece of a snapshot on its way to a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotChunk {
    /// The snapshot without its bytes.
    #[n(0)]
    pub head: Snapshot,
    /// Place of this piece.
    #[n(1)]
    pub offset: u64,
    /// Bytes of the whole.
    #[n(2)]
    pub total: u64,
    /// The leader's own clock at sending.
    #[n(3)]
    pub sent_at: Millis,
    /// The piece.
    #[cbor(n(4), with = "minicbor::bytes")]
    pub bytes: Vec<u8>,
}

/// A member's answer to a piece.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotAck {
    /// Which snapshot.
    #[n(0)]
    pub index: Index,
    /// Bytes the member has of it, in order.
    #[n(1)]
    pub received: u64,
    /// The stamp of the piece.
    #[n(2)]
    pub sent_at: Millis,
    /// The member's wall clock.
    #[n(3)]
    pub wall_ms: Option<Millis>,
}
