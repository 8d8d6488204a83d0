//! Which workers an order can reach.

use fleet_emulator::prelude::*;

fn ids(layout: &Layout, names: &[&str]) -> BTreeSet<NodeId> {
    names.iter().map(|n| layout.by_name(n).unwrap().id).collect()
}

#[test]
fn an_order_needs_a_quorum_a_gateway_and_whole_links() {
    let l = Layout::new(Deployment::named("harwick").unwrap(), 9);
    let t = LinkTable::default();
    let all: BTreeSet<NodeId> = l.nodes.iter().map(|n| n.id).collect();
    let others = |names: &[&str]| all.difference(&ids(&l, names)).copied().collect::<BTreeSet<_>>();
    let count = |runs: &dyn Fn(&Node) -> bool| reachable_workers(&l, &t, runs).len();
    assert_eq!(count(&|_| true), 48);
    assert_eq!(count(&|n| n.name != "s1"), 48);
    assert_eq!(count(&|n| n.name != "s1" && n.name != "s2"), 0, "no quorum");
    assert_eq!(count(&|n| n.role != Role::Gateway || n.name == "g3"), 48);
    // One direction is enough to be out of reach.
    let one_way = t.add_rule(ids(&l, &["w01"]), others(&["w01"]), LinkEffect::CUT);
    assert_eq!(count(&|_| true), 47);
    t.remove_rule(one_way);
    // The only gateway that runs hears too few schedulers.
    let cut = t.add_rule(ids(&l, &["s1", "s2"]), ids(&l, &["g3"]), LinkEffect::CUT);
    assert_eq!(count(&|n| n.role != Role::Gateway || n.name == "g3"), 0);
    assert_eq!(count(&|_| true), 48);
    t.remove_rule(cut);
    t.add_rule(ids(&l, &["w02"]), others(&["w02"]), LinkEffect::CUT);
    t.remove_rules();
    assert_eq!(count(&|_| true), 48);
}
