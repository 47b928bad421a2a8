//! Which nodes connect to a server that has too little room for all of them.

use super::rendezvous::score;
use crate::admission::Share;
use crate::id::{NodeId, ServerId, Zone};

/// Nodes that share the work of a crowded server. Few, so that their queues order
/// nearly all of it; more than one, so that the loss of one leaves the others.
const OWNERS: usize = 3;

/// Nodes that are asked when no owner answers. All owners of a server are in its
/// zone, so nodes that reach none of either rarely reach the server.
const BACKUPS: usize = 3;

/// Part of a crowded server's connections that each owner may use, as a divisor:
/// all of them rarely need theirs at once, and the server refuses past its limit.
const CONNECTION_DIVISOR: usize = 2;

/// Statements in flight at a server over its slots, as a factor: enough that no
/// slot waits for the network.
const SLOT_OVERCOMMIT: usize = 3;

/// Nodes for each statement in flight from which on a server is crowded: each
/// node has at least one, so their sum fills the server's own queue, which
/// follows no priority.
const NODES_PER_STATEMENT: usize = 2;

/// Capacity of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Statements that it runs at once.
    pub slots: usize,
    /// Connections that nodes may open.
    pub connections: usize,
}

impl Capacity {
    /// Tells whether `nodes` are too many to connect themselves.
    #[must_use]
    pub fn is_oversubscribed(self, nodes: usize) -> bool {
        let statements = self.slots * SLOT_OVERCOMMIT;
        nodes > self.connections || nodes > statements * NODES_PER_STATEMENT
    }

    /// Returns the part of one of `nodes` that connect.
    #[must_use]
    pub fn even_share(self, nodes: usize) -> Share {
        let nodes = nodes.max(1);
        let slots = (self.slots * SLOT_OVERCOMMIT).div_ceil(nodes);
        Share {
            slots: slots.clamp(1, self.slots.max(1)),
            connections: self.connections.div_ceil(nodes).max(1),
        }
    }

    /// Returns the part of one of the owners of a crowded server.
    #[must_use]
    pub fn owner_share(self) -> Share {
        Share {
            slots: (self.slots * SLOT_OVERCOMMIT).div_ceil(OWNERS).max(1),
            connections: self.connections.div_ceil(CONNECTION_DIVISOR).max(1),
        }
    }
}

/// Nodes that connect to a crowded server, by a hash that every node works out
/// alike; those in the server's zone come before others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    nodes: Vec<NodeId>,
}

impl Assignment {
    /// Chooses among `nodes` for a server in `zone`.
    #[must_use]
    pub fn new<'a>(
        server: &ServerId,
        zone: &Zone,
        nodes: impl Iterator<Item = (&'a NodeId, &'a Zone)>,
    ) -> Self {
        let mut ranked: Vec<_> = nodes
            .map(|(node, other)| (other != zone, score(node, server), node))
            .collect();
        ranked.sort();
        let chosen = ranked.into_iter().take(OWNERS + BACKUPS);
        Self {
            nodes: chosen.map(|(_, _, node)| node.clone()).collect(),
        }
    }

    /// Tells whether a node connects itself.
    #[must_use]
    pub fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Returns the nodes that `borrower` asks, the first one first: the owners, from
    /// one on that differs among the borrowers, and then the backups.
    pub fn candidates(
        &self,
        borrower: &NodeId,
        server: &ServerId,
    ) -> impl Iterator<Item = &NodeId> {
        let owners = self.nodes.len().min(OWNERS);
        let (owners, backups) = self.nodes.split_at(owners);
        let [high, low, ..] = score(borrower, server);
        let first = usize::from(u16::from_be_bytes([high, low])) % owners.len().max(1);
        let (later, earlier) = owners.split_at(first);
        earlier.iter().chain(later).chain(backups)
    }
}
