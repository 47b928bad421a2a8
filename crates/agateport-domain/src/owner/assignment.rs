//! Selects the nodes that connect to a server that cannot serve all of them.

use super::rendezvous::score;
use crate::admission::Share;
use crate::id::{NodeId, ServerId, WorkspaceId, Zone};

/// Owners of an oversubscribed server.
///
/// There are few, so that their queues order nearly all requests, but more than
/// one, so that the others remain if one fails.
const OWNERS: usize = 3;

/// Backup nodes of an oversubscribed server, used when no owner replies.
///
/// Owners and backups are in the zone of the server if it has enough nodes, so a
/// node that reaches none of them rarely reaches the server itself.
const BACKUPS: usize = 3;

/// Divisor of a server's connections for the share of each owner.
///
/// With this value the shares of three owners add up to more than the limit:
/// they rarely need all of them at once, and the server refuses connections past
/// its limit.
const CONNECTION_DIVISOR: usize = 2;

/// Statements in flight per slot of a server.
///
/// It is high enough that no slot is idle while a request is on the network.
const SLOT_OVERCOMMIT: usize = 3;

/// Nodes per statement in flight above which a server is oversubscribed.
///
/// Each node may have at least one statement in flight, so with many nodes the
/// sum fills the queue inside the server, which ignores priorities.
const NODES_PER_STATEMENT: usize = 2;

/// Capacity of a server, to be divided among nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Statements that the server runs at once.
    pub slots: usize,
    /// Connections that all nodes together may open.
    pub connections: usize,
}

impl Capacity {
    /// Returns whether `nodes` are too many for each to connect itself.
    #[must_use]
    pub fn is_oversubscribed(self, nodes: usize) -> bool {
        let statements = self.statements();
        nodes > self.connections || nodes > statements.saturating_mul(NODES_PER_STATEMENT)
    }

    /// Returns the share of a node, if all connect, in a zone with `nodes` nodes.
    ///
    /// Callers connect to a node of their zone, so each of the `zones` gets the same
    /// share, which its nodes divide.
    #[must_use]
    pub fn even_share(self, zones: usize, nodes: usize) -> Share {
        let nodes = zones.max(1).saturating_mul(nodes.max(1));
        let slots = self.statements().div_ceil(nodes);
        Share {
            slots: slots.clamp(1, self.slots.max(1)),
            connections: self.connections.div_ceil(nodes).max(1),
        }
    }

    /// Returns the number of statements that all nodes together may have in flight.
    fn statements(self) -> usize {
        self.slots.saturating_mul(SLOT_OVERCOMMIT)
    }

    /// Returns the share of each owner of an oversubscribed server whose connections belong
    /// to workspaces. Such connections stay open between statements, so the shares of three
    /// owners must not exceed the limit.
    #[must_use]
    pub fn workspace_share(self) -> Share {
        Share {
            slots: self.statements().div_ceil(OWNERS).max(1),
            connections: (self.connections / OWNERS).max(1),
        }
    }

    /// Returns the share of each owner of an oversubscribed server.
    #[must_use]
    pub fn owner_share(self) -> Share {
        Share {
            slots: self.statements().div_ceil(OWNERS).max(1),
            connections: self.connections.div_ceil(CONNECTION_DIVISOR).max(1),
        }
    }
}

/// Moves an owner that a hash of `key` and `server` selects to the front of the owners and
/// backups of a server, so that all nodes try the same owner first for the same key.
pub fn rotate<T>(nodes: &mut [T], key: &WorkspaceId, server: &ServerId) {
    let owners = nodes.len().min(OWNERS);
    let [high, low, ..] = score(key, server);
    let first = usize::from(u16::from_be_bytes([high, low])) % owners.max(1);
    nodes[..owners].rotate_left(first);
}

/// Rank of a node for a server: whether it is in another zone, its hash, and its name.
type Rank = (bool, [u8; 32], NodeId);

/// The owners and backups of an oversubscribed server, in this order.
///
/// They are selected by a hash that all nodes compute alike; nodes in the
/// server's zone come before others. A change of one node costs one hash, unless
/// the node was an owner or a backup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    server: ServerId,
    zone: Zone,
    ranked: Vec<Rank>,
}

impl Assignment {
    /// Selects owners and backups among `nodes` for a server in `zone`.
    #[must_use]
    pub fn new<'a>(
        server: &ServerId,
        zone: &Zone,
        nodes: impl Iterator<Item = (&'a NodeId, &'a Zone)>,
    ) -> Self {
        let mut assignment = Self {
            server: server.clone(),
            zone: zone.clone(),
            ranked: Vec::new(),
        };
        for (node, zone) in nodes {
            assignment.add(node, zone);
        }
        assignment
    }

    /// Adds a node in `zone`; it replaces the last backup if it ranks before it.
    pub fn add(&mut self, node: &NodeId, zone: &Zone) {
        let rank = (*zone != self.zone, score(node, &self.server), node.clone());
        let Err(position) = self.ranked.binary_search(&rank) else {
            return;
        };
        if position < OWNERS + BACKUPS {
            self.ranked.insert(position, rank);
            self.ranked.truncate(OWNERS + BACKUPS);
        }
    }

    /// Returns the zone of the server.
    #[must_use]
    pub fn zone(&self) -> &Zone {
        &self.zone
    }

    /// Returns whether a node is an owner or a backup, which connect themselves.
    #[must_use]
    pub fn contains(&self, node: &NodeId) -> bool {
        self.ranked.iter().any(|(.., other)| other == node)
    }

    /// Returns the owners and backups, in this order.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.ranked.iter().map(|(.., node)| node)
    }

    /// Returns the nodes that `borrower` requests permits from, in order: the
    /// owners, starting at one that differs among borrowers, then the backups.
    pub fn candidates(
        &self,
        borrower: &NodeId,
        server: &ServerId,
    ) -> impl Iterator<Item = &NodeId> {
        let owners = self.ranked.len().min(OWNERS);
        let (owners, backups) = self.ranked.split_at(owners);
        let [high, low, ..] = score(borrower, server);
        let first = usize::from(u16::from_be_bytes([high, low])) % owners.len().max(1);
        let (later, earlier) = owners.split_at(first);
        let ranked = earlier.iter().chain(later).chain(backups);
        ranked.map(|(.., node)| node)
    }
}
