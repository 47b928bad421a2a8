//! Whether a primary is out of reach, by the word of a few nodes of every zone.

use crate::id::{NodeId, ServerId, Zone};
use crate::owner::score;
use std::collections::BTreeMap;

/// Nodes of one zone that are asked. A fleet of a few nodes is asked as a whole;
/// of a large one no zone alone has the majority.
const NODES_A_ZONE: usize = 3;

/// The nodes that are asked whether they reach a primary.
///
/// They differ between servers, so that no node is asked about all of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Panel {
    nodes: Vec<NodeId>,
}

impl Panel {
    /// Chooses among `nodes` for a server.
    #[must_use]
    pub fn new<'a>(
        server: &ServerId,
        nodes: impl Iterator<Item = (&'a NodeId, &'a Zone)>,
    ) -> Self {
        let mut zones: BTreeMap<&Zone, Vec<_>> = BTreeMap::new();
        for (node, zone) in nodes {
            let ranked = (score(node, server), node);
            zones.entry(zone).or_default().push(ranked);
        }
        let mut nodes = Vec::new();
        for ranked in zones.values_mut() {
            ranked.sort();
            let chosen = ranked.iter().take(NODES_A_ZONE);
            nodes.extend(chosen.map(|(_, node)| (*node).clone()));
        }
        Self { nodes }
    }

    /// Returns the nodes that are asked.
    #[must_use]
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Tells whether a primary is lost that `missing` of the nodes said they don't
    /// reach: more than half. Who says nothing may be cut off itself.
    #[must_use]
    pub fn finds_lost(&self, missing: usize) -> bool {
        missing * 2 > self.nodes.len()
    }
}
