use crate::prelude::*;

/// Who is in the cluster. An entry carries it whole.
///
/// ```
/// use replicated_log::prelude::*;
/// let home = MemberAddress::new("127.0.0.1:7000", "a");
/// let three = Membership::of_voters([(1, home.clone()), (2, home.clone()), (3, home.clone())]);
/// assert_eq!(three.quorum(), 2);
/// let four = three.changed(&MembershipChange::AddLearner { id: 4, address: home }).unwrap();
/// assert_eq!(four.quorum(), 2);
/// assert_eq!(four.changed(&MembershipChange::Promote { id: 4 }).unwrap().quorum(), 3);
/// let without = four.changed(&MembershipChange::Remove { id: 1 }).unwrap();
/// assert!(without.retired.contains(&1));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Membership {
    /// Members that vote and count for commits.
    #[n(0)]
    pub voters: BTreeMap<NodeId, MemberAddress>,
    /// Members that only receive the log.
    #[n(1)]
    pub learners: BTreeMap<NodeId, MemberAddress>,
    /// Ids that left; they never vote again and never come back.
    #[n(2)]
    pub retired: BTreeSet<NodeId>,
}

impl Membership {
    /// A membership of voters alone.
    pub fn of_voters(voters: impl IntoIterator<Item = (NodeId, MemberAddress)>) -> Self {
        Self { voters: voters.into_iter().collect(), ..Self::default() }
    }

    /// Votes needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the id votes.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the id is a voter or a learner.
    pub fn is_member(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// All voters and learners.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &MemberAddress)> {
        self.voters.iter().chain(self.learners.iter()).map(|(id, a)| (*id, a))
    }

    /// The membership after one change, or why the change makes no sense.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, ProposeError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner { id, address } => {
                ensure!(!self.retired.contains(id), crate::propose_error::RetiredSnafu { id: *id });
                ensure!(!self.is_member(*id), crate::propose_error::AlreadyMemberSnafu { id: *id });
                next.learners.insert(*id, address.clone());
            }
            MembershipChange::Promote { id } => {
                let address = next.learners.remove(id);
                let address = address.context(crate::propose_error::UnknownMemberSnafu { id: *id })?;
                next.voters.insert(*id, address);
            }
            MembershipChange::Remove { id } => {
                ensure!(self.is_member(*id), crate::propose_error::UnknownMemberSnafu { id: *id });
                next.learners.remove(id);
                next.voters.remove(id);
                ensure!(!next.voters.is_empty(), crate::propose_error::LastVoterSnafu { id: *id });
                next.retired.insert(*id);
            }
        }
        Ok(next)
    }
}
