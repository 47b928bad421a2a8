//! Which nodes connect to a server that has too little room for all of them.

use super::rendezvous::score;
use crate::admission::Share;
use crate::id::{NodeId, ServerId, Zone};

/// Nodes that connect to a crowded server. Few, so that their queues order nearly
/// all of its work; more than one, so that the loss of one leaves the others.
const OWNERS: usize = 3;

/// Part of a crowded server's connections that each owner may use, as a divisor:
/// all of them rarely need theirs at once, and the server refuses past its limit.
const CONNECTION_PART: usize = 2;

/// Statements in flight at a server over its slots, as a factor: enough that no
/// slot waits for the network.
const SLOT_OVERCOMMIT: usize = 3;

/// Nodes for each statement in flight from which on a server is crowded: each
/// node has at least one, so their sum fills the server's own queue, which
/// follows no priority.
const NODES_A_STATEMENT: usize = 2;

/// Room of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// Statements that it runs at once.
    pub slots: usize,
    /// Connections that nodes may open.
    pub connections: usize,
}

impl Room {
    /// Tells whether `nodes` are too many to connect themselves.
    #[must_use]
    pub fn is_crowded(self, nodes: usize) -> bool {
        let statements = self.slots * SLOT_OVERCOMMIT;
        nodes > self.connections || nodes > statements * NODES_A_STATEMENT
    }

    /// Returns the part of one of `nodes` that connect.
    #[must_use]
    pub fn even_part(self, nodes: usize) -> Share {
        let nodes = nodes.max(1);
        let slots = (self.slots * SLOT_OVERCOMMIT).div_ceil(nodes);
        Share {
            slots: slots.clamp(1, self.slots.max(1)),
            connections: self.connections.div_ceil(nodes).max(1),
        }
    }

    /// Returns the part of one of the owners of a crowded server.
    #[must_use]
    pub fn owner_part(self) -> Share {
        Share {
            slots: (self.slots * SLOT_OVERCOMMIT).div_ceil(OWNERS).max(1),
            connections: self.connections.div_ceil(CONNECTION_PART).max(1),
        }
    }
}

/// Returns the owners of a crowded server, the preferred one first: by a hash
/// that every node works out alike, those in the server's zone before others.
#[must_use]
pub fn owners<'a>(
    server: &ServerId,
    zone: &Zone,
    nodes: impl Iterator<Item = (&'a NodeId, &'a Zone)>,
) -> Vec<NodeId> {
    let mut ranked: Vec<_> = nodes
        .map(|(node, other)| (other != zone, score(node, server), node))
        .collect();
    ranked.sort();
    ranked
        .into_iter()
        .take(OWNERS)
        .map(|(_, _, node)| node.clone())
        .collect()
}

/// Returns which of `count` owners a node asks first, so that they share the
/// nodes evenly.
#[must_use]
pub fn first(node: &NodeId, server: &ServerId, count: usize) -> usize {
    let [high, low, ..] = score(node, server);
    usize::from(u16::from_be_bytes([high, low])) % count.max(1)
}
