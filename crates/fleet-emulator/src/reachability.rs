use crate::prelude::*;

/// Workers that an order can reach now: over whole links, through a gateway that runs, from a quorum of schedulers
/// that run and reach that gateway. `runs` tells which daemons are neither dead nor frozen.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let layout = Layout::new(Deployment::named("harwick").unwrap(), 9);
/// let links = LinkTable::default();
/// let all = reachable_workers(&layout, &links, |_| true);
/// assert_eq!(all.len(), 48);
/// assert!(reachable_workers(&layout, &links, |n| n.role != Role::Gateway).is_empty());
/// ```
pub fn reachable_workers(layout: &Layout, links: &LinkTable, runs: impl Fn(&Node) -> bool) -> BTreeSet<NodeId> {
    let whole = |a: &Node, b: &Node| !links.effect_now(a.id, b.id).cut && !links.effect_now(b.id, a.id).cut;
    let schedulers: Vec<&Node> = layout.of_role(Role::Scheduler).filter(|n| runs(n)).collect();
    let quorum = layout.of_role(Role::Scheduler).count() / 2 + 1;
    let serves = |g: &Node| schedulers.iter().filter(|s| whole(g, s)).count() >= quorum;
    let gateways: Vec<&Node> = layout.of_role(Role::Gateway).filter(|g| runs(g) && serves(g)).collect();
    layout.of_role(Role::Worker).filter(|w| gateways.iter().any(|g| whole(g, w))).map(|w| w.id).collect()
}
