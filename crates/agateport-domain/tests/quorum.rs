//! Votes of nodes of every zone on whether a primary is unreachable.

use agateport_domain::group::{Quorum, Vote};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::fmt::Write;

/// Returns the quorum of a fleet with `nodes` nodes in each of `zones` zones.
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

/// Each letter is the vote of a node: `m` does not reach the primary, `r` reaches
/// it, `-` did not answer.
#[test]
fn reachability_by_votes() {
    let mut table = String::new();
    for text in [
        "mmm mmm mmm",
        // The zone of the primary is partitioned, and nodes elsewhere restart.
        "mm- m-- ---",
        // The zone that does not reach the primary is itself partitioned.
        "mmm --- ---",
        "mmm --- rr-",
        // The primary is unreachable from part of each zone.
        "mrr mrr mrr",
        "mmr mmr rrr",
        "mmr mmr mrr",
        "--- --- ---",
        "rrr rrr rrr",
    ] {
        let is_unreachable = quorum(3, 3).is_unreachable(&votes(text));
        writeln!(table, "{text}: {is_unreachable}").expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(table);
}

#[test]
fn part_of_a_large_fleet_and_all_of_a_small_one_vote() {
    assert_eq!(quorum(3, 26).nodes().count(), 9);
    assert_eq!(quorum(5, 14).nodes().count(), 15);
    assert_eq!(quorum(3, 2).nodes().count(), 6);
}

proptest! {
    /// A primary is unreachable exactly if most nodes that answered do not reach it,
    /// and those are in at least two zones.
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
