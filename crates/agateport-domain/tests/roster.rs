//! Which nodes connect to a server, and how much of it each may use.

use agateport_domain::owner::{Room, Roster};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::fmt::Write;
use test_case::test_case;

fn fleet(zones: usize, nodes: usize) -> Vec<(NodeId, Zone)> {
    let names = (0..zones).flat_map(|zone| (0..nodes).map(move |node| (zone, node)));
    let nodes = names.map(|(zone, node)| {
        let name = format!("node-{zone}-{node}");
        (name.as_str().into(), format!("zone-{zone}").as_str().into())
    });
    nodes.collect()
}

fn roster(server: &ServerId, zone: &Zone, fleet: &[(NodeId, Zone)]) -> Roster {
    Roster::new(server, zone, fleet.iter().map(|(node, zone)| (node, zone)))
}

/// The deployments of today connect directly; the grown ones don't.
#[test_case(3, 19, 7, false; "nairobi today")]
#[test_case(2, 26, 6, false; "tallinn today")]
#[test_case(5, 49, 78, true; "nairobi grown")]
#[test_case(4, 149, 70, true; "tallinn grown")]
#[test_case(3, 5, 6, true; "fewer connections than nodes")]
fn a_server_is_crowded_by(slots: usize, connections: usize, nodes: usize, is_crowded: bool) {
    let room = Room { slots, connections };
    assert_eq!(room.is_crowded(nodes), is_crowded);
}

#[test]
fn parts_of_a_server() {
    let mut table = String::new();
    for (slots, connections, nodes) in [(3, 19, 7), (2, 26, 6), (5, 49, 78), (0, 1, 1)] {
        let room = Room { slots, connections };
        let (even, owner) = (room.even_part(nodes), room.owner_part());
        writeln!(
            table,
            "{room:?} among {nodes}: {even:?}; as an owner {owner:?}"
        )
        .expect("a string takes text");
    }
    insta::assert_snapshot!(table);
}

/// The guests of a server start at all of its owners, each at the same one again.
#[test]
fn guests_are_spread_over_the_owners() {
    let fleet = fleet(3, 26);
    let (server, zone) = ("i-1".into(), "zone-1".into());
    let roster = roster(&server, &zone, &fleet);
    let mut firsts: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (guest, _) in fleet.iter().filter(|(node, _)| !roster.contains(node)) {
        let turns: Vec<_> = roster.turns(guest, &server).collect();
        assert_eq!(turns.len(), 6);
        *firsts.entry(turns[0].clone()).or_default() += 1;
    }
    insta::assert_debug_snapshot!(firsts);
}

proptest! {
    /// Whoever leaves, the others keep their order: few servers change owners.
    #[test]
    fn a_node_that_leaves_moves_no_other(left in 0usize..60, server in "i-[0-9a-f]{6}") {
        let fleet = fleet(3, 20);
        let server: ServerId = server.as_str().into();
        let zone = "zone-0".into();
        let before = roster(&server, &zone, &fleet);
        let mut rest = fleet.clone();
        let (gone, _) = rest.remove(left);
        let after = roster(&server, &zone, &rest);
        let kept = fleet.iter().filter(|(node, _)| before.contains(node) && *node != gone);
        for (node, _) in kept {
            prop_assert!(after.contains(node));
        }
    }

    /// Owners are in the server's zone as long as that has enough nodes.
    #[test]
    fn owners_are_near(nodes in 6usize..30, server in "i-[0-9a-f]{6}") {
        let fleet = fleet(4, nodes);
        let zone: Zone = "zone-2".into();
        let roster = roster(&server.as_str().into(), &zone, &fleet);
        for (node, other) in &fleet {
            prop_assert!(!roster.contains(node) || *other == zone);
        }
    }
}
