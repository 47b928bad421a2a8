//! Which nodes connect to which servers, and with what share.

use crate::record::Member;
use crate::registry::Entry;
use crate::server::{Place, Role};
use agateport_domain::admission::Share;
use agateport_domain::owner::{Assignment, Capacity};
use agateport_domain::prelude::*;
use std::sync::{PoisonError, RwLock};

/// Connections of a server that are in no node's share: for status requests, and for
/// nodes that start.
const RESERVED_CONNECTIONS: usize = 2;

/// Share of a server at a node that has not read the list of members yet. Such a node
/// borrows permits, but knows no owners.
const MIN_SHARE: Share = Share {
    slots: 1,
    connections: 1,
};

/// Members of the cluster, by name.
pub type Members = BTreeMap<NodeId, Member>;

/// Which nodes connect to which servers, as known to one node.
#[derive(Debug)]
pub struct Ownership {
    /// Name of this node.
    node: NodeId,
    members: RwLock<Arc<Members>>,
    /// Number of members in each zone.
    zones: RwLock<Arc<BTreeMap<Zone, usize>>>,
    zone: Zone,
    /// The owners and backups of the oversubscribed servers.
    assignments: Sharded<ServerId, Assignment>,
}

impl Ownership {
    /// Creates the state of `node` in `zone`, which does not know the members yet.
    #[must_use]
    pub fn new(node: NodeId, zone: Zone) -> Self {
        Self {
            node,
            members: RwLock::default(),
            zones: RwLock::default(),
            zone,
            assignments: Sharded::new(),
        }
    }

    /// Applies the list of nodes that use the servers; returns whether it has changed.
    pub fn apply(&self, members: &Members) -> bool {
        let mut current = self.members.write().unwrap_or_else(PoisonError::into_inner);
        if **current == *members {
            return false;
        }
        let former = std::mem::replace(&mut *current, Arc::new(members.clone()));
        drop(current);
        let mut zones = BTreeMap::new();
        for member in members.values() {
            *zones.entry(member.zone.clone()).or_default() += 1;
        }
        *self.zones.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(zones);
        self.update_assignments(&former, members);
        true
    }

    /// Applies a change of the members to the owners and backups of the servers.
    fn update_assignments(&self, former: &Members, members: &Members) {
        let zone = |members: &Members, node: &NodeId| {
            let member = members.get(node);
            member.map(|member| member.zone.clone())
        };
        let is_moved = |node: &NodeId| zone(former, node) != zone(members, node);
        let removed: Vec<_> = former.keys().filter(|node| is_moved(node)).collect();
        let added = members.iter().filter(|(node, _)| is_moved(node));
        let added: Vec<_> = added.collect();
        self.assignments.for_each(|server, assignment| {
            if removed.iter().any(|node| assignment.contains(node)) {
                *assignment = assign(server, &assignment.zone().clone(), members);
                return;
            }
            for (node, member) in &added {
                assignment.add(node, &member.zone);
            }
        });
    }

    /// Forgets a server.
    pub fn remove(&self, server: &ServerId) {
        self.assignments.remove(server);
    }

    /// Returns how this node accesses a server that has this many connections, and the
    /// share that it may use. `has_workspaces` is whether connections belong to workspaces.
    #[must_use]
    pub fn role(&self, entry: &Entry, connections: usize, has_workspaces: bool) -> (Role, Share) {
        let capacity = Capacity {
            slots: entry.slots,
            connections: connections.saturating_sub(RESERVED_CONNECTIONS).max(1),
        };
        let members = self.members();
        if members.is_empty() {
            // Other nodes may already use all of the server's connections.
            return (Role::Borrower(Vec::new()), MIN_SHARE);
        }
        let zones = self.zones();
        let neighbours = zones.get(&self.zone).copied().unwrap_or(1);
        let even = capacity.even_share(zones.len(), neighbours);
        if !capacity.is_oversubscribed(members.len()) {
            return (Role::Owner, even);
        }
        let assignment = self.assignment(entry);
        if assignment.contains(&self.node) && has_workspaces {
            let places = assignment.nodes().filter_map(|node| {
                if *node == self.node {
                    return Some(Place::Here);
                }
                members.get(node).map(|member| Place::Node(member.address))
            });
            return (Role::CoOwner(places.collect()), capacity.workspace_share());
        }
        if assignment.contains(&self.node) {
            return (Role::Owner, capacity.owner_share());
        }
        let owners = assignment.candidates(&self.node, &entry.server);
        let addresses = owners.filter_map(|owner| members.get(owner));
        let addresses = addresses.map(|member| member.address).collect();
        (Role::Borrower(addresses), even)
    }

    /// Returns the owners and backups of a server.
    fn assignment(&self, entry: &Entry) -> Assignment {
        self.assignments.with(&entry.server, |assignments| {
            let known = assignments.get(&entry.server);
            if let Some(known) = known.filter(|known| *known.zone() == entry.zone) {
                return known.clone();
            }
            // The members are read under the lock of the shard, so that a later change of
            // them is applied to this assignment.
            let assignment = assign(&entry.server, &entry.zone, &self.members());
            assignments.insert(entry.server.clone(), assignment.clone());
            assignment
        })
    }

    fn members(&self) -> Arc<Members> {
        let members = self.members.read();
        members.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn zones(&self) -> Arc<BTreeMap<Zone, usize>> {
        let zones = self.zones.read();
        zones.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Selects the owners and backups of a server among the members.
fn assign(server: &ServerId, zone: &Zone, members: &Members) -> Assignment {
    let nodes = members.iter().map(|(node, member)| (node, &member.zone));
    Assignment::new(server, zone, nodes)
}
