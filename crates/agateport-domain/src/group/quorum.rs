//! Decides whether a primary is unreachable, from the votes of a few nodes of
//! every zone.

use crate::id::{NodeId, ServerId, Zone};
use crate::owner::score;
use std::collections::{BTreeMap, BTreeSet};

/// Number of nodes of each zone that vote. In a small fleet all nodes vote; in a
/// large one no zone has the majority on its own.
const NODES_PER_ZONE: usize = 3;

/// The nodes that vote on whether a primary is reachable.
///
/// Each server has its own selection, so no node has to probe all servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quorum {
    nodes: Vec<(NodeId, Zone)>,
}

/// Vote of one node of a quorum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Vote {
    /// The node reaches the primary.
    Reached,
    /// The node does not reach the primary.
    Missed,
    /// The node did not answer: it may be stopped or partitioned itself.
    Untold,
}

impl Quorum {
    /// Selects the nodes that vote on `server`.
    #[must_use]
    pub fn new<'a>(server: &ServerId, nodes: impl Iterator<Item = (&'a NodeId, &'a Zone)>) -> Self {
        let mut zones: BTreeMap<&Zone, Vec<_>> = BTreeMap::new();
        for (node, zone) in nodes {
            let ranked = (score(node, server), node);
            zones.entry(zone).or_default().push(ranked);
        }
        let mut nodes = Vec::new();
        for (zone, mut ranked) in zones {
            ranked.sort();
            let chosen = ranked.into_iter().take(NODES_PER_ZONE);
            nodes.extend(chosen.map(|(_, node)| (node.clone(), zone.clone())));
        }
        Self { nodes }
    }

    /// Returns the nodes that vote.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.iter().map(|(node, _)| node)
    }

    /// Returns whether the primary is unreachable: most of the nodes that answered
    /// do not reach it, and those nodes cover a majority of the zones. Neither a
    /// zone that is partitioned from the others nor nodes that are restarting
    /// decide the vote.
    #[must_use]
    pub fn is_unreachable(&self, votes: &[Vote]) -> bool {
        let count = |vote| votes.iter().filter(|cast| **cast == vote).count();
        let missed = count(Vote::Missed);
        let polled = self.nodes.iter().zip(votes);
        let missed_zones = polled.filter(|(_, vote)| **vote == Vote::Missed);
        let missed_zones: BTreeSet<_> = missed_zones.map(|((_, zone), _)| zone).collect();
        let zones: BTreeSet<_> = self.nodes.iter().map(|(_, zone)| zone).collect();
        missed > count(Vote::Reached) && missed_zones.len() * 2 > zones.len()
    }
}
