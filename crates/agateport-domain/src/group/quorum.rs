//! Whether a primary is out of reach, by the word of a few nodes of every zone.

use crate::id::{NodeId, ServerId, Zone};
use crate::owner::score;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes of one zone that are asked. A fleet of a few nodes is asked as a whole;
/// of a large one no zone alone has the majority.
const NODES_PER_ZONE: usize = 3;

/// The nodes that are asked whether they reach a primary.
///
/// They differ between servers, so that no node is asked about all of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quorum {
    nodes: Vec<(NodeId, Zone)>,
}

/// What one node of a panel said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Vote {
    /// It reaches the primary.
    Reached,
    /// It doesn't.
    Missed,
    /// It said nothing: it may be stopped, or cut off itself.
    Untold,
}

impl Quorum {
    /// Chooses among `nodes` for a server.
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

    /// Returns the nodes that are asked.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.iter().map(|(node, _)| node)
    }

    /// Tells whether the primary is lost: most nodes that said anything don't reach
    /// it, and they are of most zones. So neither a zone that is cut off from the
    /// others nor nodes that are being restarted decide.
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
