use crate::prelude::*;

/// What members say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MessageBody {
    /// Would you vote for me? Changes nothing at either end.
    #[n(0)]
    PreVote {
        /// The term the sender would run in.
        #[n(0)]
        next_term: Term,
        /// Its last index.
        #[n(1)]
        last_index: Index,
        /// Term of it.
        #[n(2)]
        last_term: Term,
    },
    /// Answer to `PreVote`.
    #[n(1)]
    PreVoteReply {
        /// The term asked for.
        #[n(0)]
        next_term: Term,
        /// Yes or no.
        #[n(1)]
        granted: bool,
    },
    /// Vote for me in the term of the message.
    #[n(2)]
    Vote {
        /// The sender's last index.
        #[n(0)]
        last_index: Index,
        /// Term of it.
        #[n(1)]
        last_term: Term,
        /// Set when the lease of the leader before is surely over: it handed over itself, or the sender was that leader and was
        /// restarted.
        #[n(2)]
        transfer: bool,
    },
    /// Answer to `Vote`.
    #[n(3)]
    VoteReply {
        /// Yes or no.
        #[n(0)]
        granted: bool,
    },
    /// Entries or a heartbeat.
    #[n(4)]
    Append(#[n(0)] Append),
    /// Answer to `Append`.
    #[n(5)]
    AppendAck(#[n(0)] AppendAck),
    /// A piece of a snapshot.
    #[n(6)]
    SnapshotChunk(#[n(0)] SnapshotChunk),
    /// Answer to `SnapshotChunk`.
    #[n(7)]
    SnapshotAck(#[n(0)] SnapshotAck),
    /// The leader has given up and asks the receiver to run at once.
    #[n(8)]
    TimeoutNow,
}
