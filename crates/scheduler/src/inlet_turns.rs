/// Where inputs of the core come from that may arrive faster than they are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inlet {
    /// What keeps the cluster together: the log's messages, on which the lease rests, and what gateways
    /// give their channel up without.
    Cluster,
    /// The passing of time: something waits here when a tick is overdue.
    Ticks,
    /// Calls of the control API at this process.
    Calls,
    /// All else that gateways send.
    Gateways,
}

/// Inputs that keep the cluster together are read in a row at most, while anything else waits.
const CLUSTER_IN_A_ROW: u32 = 16;

/// Whose turn it is among the inlets: what keeps the cluster together goes first, then time, and calls and gateways alternate. Whatever arrives
/// however fast, none of them waits for more than a bounded number of others' inputs.
///
/// ```
/// use scheduler::{Inlet, InletTurns};
/// let mut turns = InletTurns::default();
/// let busy = |inlet| matches!(inlet, Inlet::Calls | Inlet::Gateways);
/// assert_eq!(turns.next(busy), Some(Inlet::Calls));
/// turns.taken(Inlet::Calls);
/// assert_eq!(turns.next(busy), Some(Inlet::Gateways));
/// assert_eq!(turns.next(|_| false), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct InletTurns {
    cluster_in_a_row: u32,
    /// Whether a call was read since the last frame of a gateway.
    call_was_last: bool,
}

impl InletTurns {
    /// The inlet to read, among those where something waits.
    pub fn next(&self, waits: impl Fn(Inlet) -> bool) -> Option<Inlet> {
        let others = match self.call_was_last {
            true => [Inlet::Ticks, Inlet::Gateways, Inlet::Calls],
            false => [Inlet::Ticks, Inlet::Calls, Inlet::Gateways],
        };
        let other = others.into_iter().find(|inlet| waits(*inlet));
        let cluster = waits(Inlet::Cluster) && (other.is_none() || self.cluster_in_a_row < CLUSTER_IN_A_ROW);
        if cluster { Some(Inlet::Cluster) } else { other }
    }

    /// An inlet was read.
    pub fn taken(&mut self, inlet: Inlet) {
        match inlet {
            Inlet::Cluster => self.cluster_in_a_row += 1,
            Inlet::Ticks => self.cluster_in_a_row = 0,
            Inlet::Calls => (self.cluster_in_a_row, self.call_was_last) = (0, true),
            Inlet::Gateways => (self.cluster_in_a_row, self.call_was_last) = (0, false),
        }
    }
}
