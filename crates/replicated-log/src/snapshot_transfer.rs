use crate::prelude::*;

/// A snapshot that arrives in pieces.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SnapshotTransfer {
    /// Who sends it.
    pub from: NodeId,
    /// In which term.
    pub term: Term,
    /// The snapshot with the bytes so far.
    pub partial: Snapshot,
    /// Bytes of the whole.
    pub total: u64,
}

impl SnapshotTransfer {
    /// Whether the piece belongs to this transfer.
    pub fn fits(&self, from: NodeId, term: Term, chunk: &SnapshotChunk) -> bool {
        self.from == from
            && self.term == term
            && self.total == chunk.total
            && (self.partial.index, self.partial.term) == (chunk.head.index, chunk.head.term)
    }

    /// Bytes received in order.
    pub fn received(&self) -> u64 {
        self.partial.bytes.len() as u64
    }
}
