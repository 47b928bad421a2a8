//! The nodes that connect to a server, and the share of it that each may use.

use agateport_domain::owner::{Assignment, Capacity, rotate};
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

fn assignment(server: &ServerId, zone: &Zone, fleet: &[(NodeId, Zone)]) -> Assignment {
    Assignment::new(server, zone, fleet.iter().map(|(node, zone)| (node, zone)))
}

/// At the current size of the deployments, all nodes connect directly; at the
/// larger size they do not.
#[test_case(3, 19, 7, false; "nairobi today")]
#[test_case(2, 26, 6, false; "tallinn today")]
#[test_case(5, 49, 78, true; "nairobi grown")]
#[test_case(4, 149, 70, true; "tallinn grown")]
#[test_case(3, 5, 6, true; "fewer connections than nodes")]
fn a_server_is_oversubscribed_by(
    slots: usize,
    connections: usize,
    nodes: usize,
    is_oversubscribed: bool,
) {
    let capacity = Capacity { slots, connections };
    assert_eq!(capacity.is_oversubscribed(nodes), is_oversubscribed);
}

#[test]
fn shares_of_a_server() {
    let mut table = String::new();
    for (slots, connections, zones, nodes) in [
        (3, 19, 3, 2),
        (3, 19, 3, 3),
        (2, 14, 3, 1),
        (2, 14, 3, 3),
        (5, 49, 3, 26),
        (0, 1, 1, 1),
    ] {
        let capacity = Capacity { slots, connections };
        let (even, owner) = (capacity.even_share(zones, nodes), capacity.owner_share());
        writeln!(
            table,
            "{capacity:?} among {zones} zones of {nodes}: {even:?}; as an owner {owner:?}"
        )
        .expect("writing to a string cannot fail");
    }
    insta::assert_snapshot!(table);
}

/// The first owners that borrowers try are spread over all owners of a server.
#[test]
fn borrowers_are_spread_over_the_owners() {
    let fleet = fleet(3, 26);
    let (server, zone) = ("i-1".into(), "zone-1".into());
    let assignment = assignment(&server, &zone, &fleet);
    let mut first_choices: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (borrower, _) in fleet.iter().filter(|(node, _)| !assignment.contains(node)) {
        let candidates: Vec<_> = assignment.candidates(borrower, &server).collect();
        assert_eq!(candidates.len(), 6);
        *first_choices.entry(candidates[0].clone()).or_default() += 1;
    }
    insta::assert_debug_snapshot!(first_choices);
}

proptest! {
    /// The remaining nodes stay owners or backups when a node leaves, so that few
    /// servers change owners.
    #[test]
    fn removing_a_node_keeps_the_others(index in 0usize..60, server in "i-[0-9a-f]{6}") {
        let fleet = fleet(3, 20);
        let server: ServerId = server.as_str().into();
        let zone = "zone-0".into();
        let before = assignment(&server, &zone, &fleet);
        let mut rest = fleet.clone();
        let (removed, _) = rest.remove(index);
        let after = assignment(&server, &zone, &rest);
        let remaining = fleet.iter().filter(|(node, _)| before.contains(node) && *node != removed);
        for (node, _) in remaining {
            prop_assert!(after.contains(node));
        }
    }

    /// A node that is added later is ranked like one that was there from the start.
    #[test]
    fn adding_a_node_selects_as_from_the_start(index in 0usize..60, server in "i-[0-9a-f]{6}") {
        let fleet = fleet(3, 20);
        let server: ServerId = server.as_str().into();
        let zone = "zone-0".into();
        let mut rest = fleet.clone();
        let (node, node_zone) = rest.remove(index);
        let mut added = assignment(&server, &zone, &rest);
        added.add(&node, &node_zone);
        added.add(&node, &node_zone);
        prop_assert_eq!(added, assignment(&server, &zone, &fleet));
    }

    /// Owners are in the server's zone if the zone has enough nodes.
    #[test]
    fn owners_are_in_the_zone_of_the_server(nodes in 6usize..30, server in "i-[0-9a-f]{6}") {
        let fleet = fleet(4, nodes);
        let zone: Zone = "zone-2".into();
        let assignment = assignment(&server.as_str().into(), &zone, &fleet);
        for (node, other) in &fleet {
            prop_assert!(!assignment.contains(node) || *other == zone);
        }
    }
}

/// Servers report their slots themselves; no number may overflow.
#[test_case(0)]
#[test_case(usize::MAX / 2)]
#[test_case(usize::MAX)]
fn any_number_of_slots_has_a_share(slots: usize) {
    let capacity = Capacity {
        slots,
        connections: 140,
    };
    assert!(capacity.owner_share().slots >= 1);
    assert!(capacity.even_share(3, 7).slots >= 1);
    assert_eq!(capacity.is_oversubscribed(7), slots == 0);
}

// Guards against nodes that ask different owners for the same workspace, which then has
// connections at all of them, and against one owner that holds those of most workspaces.
#[test]
fn the_owner_of_a_workspace_is_the_same_for_all_nodes() {
    let mut first_of = BTreeMap::new();
    for number in 0..90 {
        let workspace: WorkspaceId = format!("w{number}").into();
        let mut nodes = ["a", "b", "c", "d", "e", "f"];
        rotate(&mut nodes, &workspace, &"server".into());
        let mut again = ["a", "b", "c", "d", "e", "f"];
        rotate(&mut again, &workspace, &"server".into());
        assert_eq!(nodes, again);
        assert_eq!(nodes[3..], ["d", "e", "f"], "backups come last");
        *first_of.entry(nodes[0]).or_insert(0) += 1;
    }
    insta::assert_debug_snapshot!(first_of, @r#"
    {
        "a": 28,
        "b": 31,
        "c": 31,
    }
    "#);
}

// Guards against owners whose connections for workspaces exceed the server's limit together.
#[test_case(5, 50; "fifty connections")]
#[test_case(4, 54; "fifty-four connections")]
#[test_case(6, 73; "seventy-three connections")]
fn owners_of_workspaces_stay_within_the_limit(slots: usize, connections: usize) {
    let share = Capacity { slots, connections }.workspace_share();
    assert!(share.connections * 3 <= connections);
    assert!(share.slots >= 1);
}
