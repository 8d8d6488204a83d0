use crate::prelude::*;

/// What all links had carried at one moment.
#[derive(Clone, Debug, Default)]
pub struct TrafficSnapshot {
    bytes: HashMap<(NodeId, NodeId), u64>,
}

impl TrafficSnapshot {
    /// As of now.
    pub fn take(links: &LinkTable) -> TrafficSnapshot {
        TrafficSnapshot { bytes: links.links().iter().map(|l| ((l.from, l.to), l.bytes())).collect() }
    }

    /// Adds what passed since to the daemons on both ends of each link. The fleet's own orders and probes, which come
    /// from the operators' node, are left out.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let layout = Layout::new(Deployment::named("harwick").unwrap(), 9);
    /// let (s, g) = (layout.by_name("s1").unwrap().id, layout.by_name("g1").unwrap().id);
    /// let links = LinkTable::default();
    /// let before = TrafficSnapshot::take(&links);
    /// links.link(g, s).count(500);
    /// let mut figures = BTreeMap::new();
    /// before.figures_since(&links, &layout, 2.0, &mut figures);
    /// assert_eq!((figures["s1"].control_bytes_per_s, figures["g1"].control_bytes_per_s), (250.0, 250.0));
    /// ```
    pub fn figures_since(&self, links: &LinkTable, layout: &Layout, seconds: f64, figures: &mut BTreeMap<Name, DaemonFigures>) {
        for l in links.links() {
            let bytes = l.bytes() - self.bytes.get(&(l.from, l.to)).copied().unwrap_or(0);
            let (a, b) = (layout.node(l.from), layout.node(l.to));
            if [a.role, b.role].contains(&Role::Operator) {
                continue;
            }
            for n in [a, b].into_iter().filter(|n| n.is_daemon()) {
                figures.entry(n.name.clone()).or_default().add_bytes(TrafficClass::between(a.role, b.role), bytes as f64 / seconds);
            }
        }
    }
}
