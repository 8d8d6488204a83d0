//! Names for the plain numbers of the log.

/// Milliseconds, of a monotonic clock unless said otherwise.
pub type Millis = u64;
/// A member. A machine that lost its disk comes back under a new one.
pub type NodeId = u64;
/// An election term; at most one leader each.
pub type Term = u64;
/// A place in the log; the first entry has index 1.
pub type Index = u64;
/// The number of a write asked of the storage; they are acknowledged in order.
pub type Ticket = u64;
/// The caller's own number for a proposal, echoed in the answer.
pub type Token = u64;
/// Which cluster a message belongs to.
pub type ClusterId = u64;
