use crate::prelude::*;

/// Names a rule of a [`LinkTable`].
pub type RuleId = u64;

/// What is done to all links from one set of nodes to another.
#[derive(Debug)]
struct Rule {
    id: RuleId,
    from: BTreeSet<NodeId>,
    to: BTreeSet<NodeId>,
    effect: LinkEffect,
}

#[derive(Debug, Default)]
struct Inner {
    links: HashMap<(NodeId, NodeId), Arc<Link>>,
    rules: Vec<Rule>,
    last_rule: RuleId,
}

impl Inner {
    /// What the rules in force do to one link.
    fn effect(&self, from: NodeId, to: NodeId) -> LinkEffect {
        self.rules.iter().filter(|r| r.from.contains(&from) && r.to.contains(&to)).fold(LinkEffect::default(), |e, r| e.and(r.effect))
    }

    /// Puts the rules in force on all links.
    fn spread(&self) {
        for l in self.links.values() {
            l.set(self.effect(l.from, l.to));
        }
    }
}

/// All links, and the rules that act on them, also on links that come up later.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let t = LinkTable::default();
/// let rule = t.add_rule([1].into(), [2, 3].into(), LinkEffect::CUT);
/// assert!(t.link(1, 2).effect().borrow().cut);
/// assert!(!t.link(2, 1).effect().borrow().cut);
/// t.remove_rule(rule);
/// assert!(!t.link(1, 2).effect().borrow().cut);
/// ```
#[derive(Debug, Default)]
pub struct LinkTable {
    inner: Mutex<Inner>,
}

impl LinkTable {
    /// One direction between two nodes; made when first asked for.
    pub fn link(&self, from: NodeId, to: NodeId) -> Arc<Link> {
        let mut g = lock(&self.inner);
        if let Some(l) = g.links.get(&(from, to)) {
            return l.clone();
        }
        let l = Arc::new(Link::new(from, to, g.effect(from, to)));
        g.links.insert((from, to), l.clone());
        l
    }

    /// What the rules in force do to one direction between two nodes, whether or not a channel was ever there.
    pub fn effect_now(&self, from: NodeId, to: NodeId) -> LinkEffect {
        lock(&self.inner).effect(from, to)
    }

    /// Acts on all links from `from` to `to` until removed.
    pub fn add_rule(&self, from: BTreeSet<NodeId>, to: BTreeSet<NodeId>, effect: LinkEffect) -> RuleId {
        let mut g = lock(&self.inner);
        g.last_rule += 1;
        let id = g.last_rule;
        g.rules.push(Rule { id, from, to, effect });
        g.spread();
        id
    }

    /// Ends a rule.
    pub fn remove_rule(&self, id: RuleId) {
        let mut g = lock(&self.inner);
        g.rules.retain(|r| r.id != id);
        g.spread();
    }

    /// Ends all rules.
    pub fn remove_rules(&self) {
        let mut g = lock(&self.inner);
        g.rules.clear();
        g.spread();
    }

    /// Resets all channels between the two sets of nodes.
    pub fn reset(&self, a: &BTreeSet<NodeId>, b: &BTreeSet<NodeId>) {
        let g = lock(&self.inner);
        for l in g.links.values() {
            if (a.contains(&l.from) && b.contains(&l.to)) || (b.contains(&l.from) && a.contains(&l.to)) {
                l.reset();
            }
        }
    }

    /// All links so far.
    pub fn links(&self) -> Vec<Arc<Link>> {
        lock(&self.inner).links.values().cloned().collect()
    }
}
