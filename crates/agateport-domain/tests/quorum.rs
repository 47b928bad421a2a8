//! Whether a primary is lost, by the word of nodes of every zone.

use agateport_domain::group::{Quorum, Vote};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::fmt::Write;

/// The panel of a fleet with as many nodes in each zone.
fn quorum(zones: usize, nodes: usize) -> Quorum {
    let names = (0..zones).flat_map(|zone| (0..nodes).map(move |node| (zone, node)));
    let nodes: Vec<(NodeId, Zone)> = names
        .map(|(zone, node)| {
            let name = format!("node-{zone}-{node}");
            (name.as_str().into(), format!("zone-{zone}").as_str().into())
        })
        .collect();
    Quorum::new(&"i-1".into(), nodes.iter().map(|(node, zone)| (node, zone)))
}

fn votes(text: &str) -> Vec<Vote> {
    let vote = |letter| match letter {
        'r' => Vote::Reached,
        'm' => Vote::Missed,
        _ => Vote::Untold,
    };
    text.chars()
        .filter(|letter| *letter != ' ')
        .map(vote)
        .collect()
}

/// A letter a node: `m` misses the primary, `r` reaches it, `-` says nothing.
#[test]
fn reachability_by_votes() {
    let mut table = String::new();
    for text in [
        "mmm mmm mmm",
        // The zone of the primary is cut off, and nodes elsewhere restart.
        "mm- m-- ---",
        // This zone is the one that is cut off.
        "mmm --- ---",
        "mmm --- rr-",
        // The primary is out of reach of part of each zone.
        "mrr mrr mrr",
        "mmr mmr rrr",
        "mmr mmr mrr",
        "--- --- ---",
        "rrr rrr rrr",
    ] {
        let is_unreachable = quorum(3, 3).is_unreachable(&votes(text));
        writeln!(table, "{text}: {is_unreachable}").expect("a string takes text");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_large_fleet_is_asked_in_part_and_a_small_one_whole() {
    assert_eq!(quorum(3, 26).nodes().count(), 9);
    assert_eq!(quorum(5, 14).nodes().count(), 15);
    assert_eq!(quorum(3, 2).nodes().count(), 6);
}

proptest! {
    /// A primary that most who say anything reach is never found to be lost, nor
    /// one that a single zone misses.
    #[test]
    fn a_minority_or_a_single_zone_decides_nothing(votes in proptest::collection::vec(0u8..3, 9)) {
        let votes: Vec<_> = votes
            .into_iter()
            .map(|vote| [Vote::Reached, Vote::Missed, Vote::Untold][usize::from(vote)])
            .collect();
        let count = |wanted| votes.iter().filter(|vote| **vote == wanted).count();
        let zones = votes.chunks(3).filter(|zone| zone.contains(&Vote::Missed)).count();
        let is_unreachable = quorum(3, 3).is_unreachable(&votes);
        prop_assert_eq!(is_unreachable, count(Vote::Missed) > count(Vote::Reached) && zones >= 2);
    }
}
