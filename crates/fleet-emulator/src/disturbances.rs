use crate::prelude::*;

/// Trouble counts this long before and after.
const NEAR: Duration = Duration::from_secs(3);

/// When unplanned trouble last hit each node.
#[derive(Debug, Default)]
pub struct Disturbances {
    until: Mutex<BTreeMap<NodeId, Instant>>,
}

impl Disturbances {
    /// Trouble hits these for so long from now on.
    pub fn note(&self, nodes: impl IntoIterator<Item = NodeId>, for_s: f64) {
        let end = Instant::now() + Duration::from_secs_f64(for_s) + NEAR;
        let mut until = lock(&self.until);
        for id in nodes {
            let known = until.entry(id).or_insert(end);
            *known = end.max(*known);
        }
    }

    /// Whether one is far from all trouble.
    pub fn is_calm(&self, id: NodeId) -> bool {
        lock(&self.until).get(&id).is_none_or(|until| Instant::now() > *until)
    }
}
