use crate::prelude::*;

/// From a scheduler to a scheduler.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerFrame {
    /// A message of the replicated log, with its own version in front.
    #[n(0)]
    Log(
        #[n(0)]
        #[cbor(with = "minicbor::bytes")]
        Vec<u8>,
    ),
    /// Who I am; answered by the same without `wants_answer`.
    #[n(1)]
    Hello {
        /// The cluster's name.
        #[n(0)]
        cluster: Name,
        /// My id: new with each empty data folder.
        #[n(1)]
        id: u64,
        /// My address.
        #[n(2)]
        address: String,
        /// My zone.
        #[n(3)]
        zone: Name,
        /// Whether I hold anything of a cluster.
        #[n(4)]
        formed: bool,
        /// Whether I am a member, as far as I know.
        #[n(5)]
        member: bool,
        /// The elected one's address, where known.
        #[n(6)]
        leader: Option<String>,
        /// Whether I want to be told the same.
        #[n(7)]
        wants_answer: bool,
    },
    /// From the elected one: that id was removed from the members.
    #[n(2)]
    Retired {
        /// The cluster's name.
        #[n(0)]
        cluster: Name,
        /// The id.
        #[n(1)]
        id: u64,
    },
}

impl WireMessage for PeerFrame {}
