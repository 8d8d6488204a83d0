use crate::prelude::*;

/// One change of one member; two never run at once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MembershipChange {
    /// A new id starts to receive the log without a vote.
    #[n(0)]
    AddLearner {
        /// The new member.
        #[n(0)]
        id: NodeId,
        /// Where it is reached.
        #[n(1)]
        address: MemberAddress,
    },
    /// A learner that has caught up gets its vote.
    #[n(1)]
    Promote {
        /// The learner.
        #[n(0)]
        id: NodeId,
    },
    /// A member leaves for good.
    #[n(2)]
    Remove {
        /// The member.
        #[n(0)]
        id: NodeId,
    },
}
