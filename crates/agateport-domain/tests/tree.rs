//! The tree over which nodes hand on what one of them reads from the store.

use agateport_domain::prelude::*;
use agateport_domain::tree::{Capacity, Tree};
use proptest::prelude::*;
use std::fmt::Write;
use test_case::test_case;

type Fleet = Vec<(NodeId, Zone, Capacity)>;

/// A fleet of equal zones, in each of which the last three nodes have a higher capacity.
fn fleet(zones: usize, nodes: usize) -> Fleet {
    let names = (0..zones).flat_map(|zone| (0..nodes).map(move |node| (zone, node)));
    let nodes = names.map(|(zone, node)| {
        let name = format!("node-{zone}-{node:03}");
        let capacity = if node + 3 < nodes { 120 } else { 500 };
        let zone = format!("zone-{zone:02}");
        (name.as_str().into(), zone.as_str().into(), capacity)
    });
    nodes.collect()
}

fn tree(fleet: &[(NodeId, Zone, Capacity)]) -> Tree {
    Tree::new(
        fleet
            .iter()
            .map(|(node, zone, capacity)| (node, zone, *capacity)),
    )
}

#[test]
fn each_node_follows_those_above_it() {
    let fleet = fleet(5, 59);
    let tree = tree(&fleet);
    let mut transcript = String::new();
    for (node, zone, _) in fleet.iter().filter(|(node, ..)| {
        ["-056", "-057", "-000", "-007", "-055"]
            .iter()
            .any(|end| node.ends_with(end))
    }) {
        let sources = tree.sources(node, zone);
        writeln!(transcript, "{node}: {sources:?}").expect("writing to a string succeeds");
    }
    let unlisted = tree.sources(&"node-new".into(), &"zone-01".into());
    writeln!(transcript, "unlisted: {unlisted:?}").expect("writing to a string succeeds");
    insta::assert_snapshot!(transcript);
}

/// However many nodes there are, each is followed by few, and the way to the root is
/// short.
#[test_case(1, 1)]
#[test_case(3, 2)]
#[test_case(5, 6)]
#[test_case(5, 59)]
#[test_case(15, 260)]
fn the_load_of_a_node_is_bounded(zones: usize, nodes: usize) {
    let fleet = fleet(zones, nodes);
    let tree = tree(&fleet);
    let mut followers: BTreeMap<&NodeId, usize> = BTreeMap::new();
    let parents: BTreeMap<&NodeId, &NodeId> = fleet
        .iter()
        .filter_map(|(node, zone, _)| Some((node, tree.sources(node, zone).into_iter().next()?)))
        .collect();
    for parent in parents.values() {
        *followers.entry(parent).or_default() += 1;
    }
    assert!(
        followers.values().all(|count| *count <= 16),
        "{followers:?}"
    );
    assert_eq!(
        parents.len(),
        fleet.len() - 1,
        "only the root has no parent"
    );
    let depth =
        |node| std::iter::successors(Some(node), |node| parents.get(*node).copied()).count();
    let deepest = fleet.iter().map(|(node, ..)| depth(node)).max();
    assert!(deepest <= Some(7), "{deepest:?}");
}

proptest! {
    /// Whatever nodes fail, the others follow each other without a circle, and few of them
    /// read the store.
    #[test]
    fn survivors_need_few_readers(
        failed in prop::collection::vec(any::<prop::sample::Index>(), 0..160),
    ) {
        let fleet = fleet(5, 59);
        let tree = tree(&fleet);
        let failed: BTreeSet<_> = failed.iter().map(|index| &index.get(&fleet).0).collect();
        let mut parents: BTreeMap<&NodeId, &NodeId> = BTreeMap::new();
        for (node, zone, _) in fleet.iter().filter(|(node, ..)| !failed.contains(node)) {
            let sources = tree.sources(node, zone).into_iter();
            let mut alive = sources.filter(|source| !failed.contains(source));
            parents.extend(alive.next().map(|parent| (node, parent)));
        }
        for (node, ..) in &fleet {
            let steps = std::iter::successors(Some(node), |node| parents.get(*node).copied());
            prop_assert!(steps.take(10).count() < 10, "{node} is in a circle");
        }
        let alive = fleet.len() - failed.len();
        // Each zone has a node that finds no other one; few others find none of theirs.
        prop_assert!(alive - parents.len() <= 5 + 8, "{} nodes read the store", alive - parents.len());
    }
}
