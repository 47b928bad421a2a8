//! The tree over which nodes hand on what one of them reads from the store.
//!
//! The nodes of a zone form a tree by capacity and name, and the first nodes of the zones
//! form another one above. The root reads the store; every other node follows its parent,
//! so that each node serves a bounded number of others, however many there are. A node
//! only ever follows nodes that precede it, so a failure creates no circle: the first
//! node that finds none of those it may follow reads the store itself.

use crate::id::{NodeId, Zone};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of nodes that follow the same one, in its zone and of other zones each.
const FANOUT: usize = 8;

/// Number of nodes at the start of a zone that a node of the zone may follow although
/// they are not its ancestors.
const SUBSTITUTES: usize = 6;

/// Number of nodes of another zone that a node may follow: the first ones.
const ZONE_SOURCES: usize = 2;

/// Number of other zones that a node may follow.
const SOURCE_ZONES: usize = 3;

/// Number of nodes at the start of each zone that read the store as soon as they find no
/// node to follow. The others wait for one of these first.
const READERS: usize = 3;

/// Processing power of a node, in thousandths of a core.
pub type Capacity = u32;

/// The nodes of each zone in the order of the tree.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tree {
    zones: BTreeMap<Zone, Vec<NodeId>>,
}

impl Tree {
    /// Creates the tree of these nodes. Those with the highest capacity come first, since
    /// they serve the most others.
    #[must_use]
    pub fn new<'a>(nodes: impl Iterator<Item = (&'a NodeId, &'a Zone, Capacity)>) -> Self {
        let mut ranked: BTreeMap<&Zone, Vec<_>> = BTreeMap::new();
        for (node, zone, capacity) in nodes {
            let zone = ranked.entry(zone).or_default();
            zone.push((Reverse(capacity), node));
        }
        let zones = ranked.into_iter().map(|(zone, mut nodes)| {
            nodes.sort();
            let nodes = nodes.into_iter().map(|(_, node)| node.clone());
            (zone.clone(), nodes.collect())
        });
        Self {
            zones: zones.collect(),
        }
    }

    /// Returns the nodes that `node` may follow, in the order in which it tries them:
    /// its ancestors in the zone, the other first nodes of the zone, and the first nodes
    /// of the zones above it. The root has none. A node that is not part of the tree
    /// follows as if it were the last of its zone.
    #[must_use]
    pub fn sources(&self, node: &NodeId, zone: &Zone) -> Vec<&NodeId> {
        let nodes = self.zones.get(zone).map_or(&[][..], Vec::as_slice);
        let position = position(nodes, node);
        let own = preceding(position, SUBSTITUTES);
        let zones: Vec<_> = self.zones.iter().collect();
        let above = zones.iter().position(|(other, _)| *other == zone);
        let above = preceding(above.unwrap_or(zones.len()), SOURCE_ZONES);
        let above = above.into_iter().take(SOURCE_ZONES);
        let others = above.flat_map(|index| zones[index].1.iter().take(ZONE_SOURCES));
        let own = own.into_iter().filter_map(|index| nodes.get(index));
        own.chain(others).collect()
    }

    /// Returns whether a node reads the store as soon as it finds no node to follow.
    #[must_use]
    pub fn is_reader(&self, node: &NodeId, zone: &Zone) -> bool {
        let nodes = self.zones.get(zone).map_or(&[][..], Vec::as_slice);
        position(nodes, node) < READERS
    }
}

/// Returns the position of a node; that after the last one if it is not listed.
fn position(nodes: &[NodeId], node: &NodeId) -> usize {
    let position = nodes.iter().position(|other| other == node);
    position.unwrap_or(nodes.len())
}

/// Returns the ancestors of a position, the nearest first, and then the first positions
/// that precede it and are no ancestors.
fn preceding(position: usize, substitutes: usize) -> Vec<usize> {
    let parent = |position: &usize| position.checked_sub(1).map(|before| before / FANOUT);
    let mut preceding: Vec<_> = std::iter::successors(parent(&position), parent).collect();
    let others = (0..position.min(substitutes)).filter(|other| !preceding.contains(other));
    let others: Vec<_> = others.collect();
    preceding.extend(others);
    preceding
}
