//! A cache of the owners of each server.

use super::Policy;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::{Generation, View};
use crate::shard::Sharded;
use std::sync::Arc;

/// Number of owners cached for each server; further ones are never used.
pub const MAX_OWNERS: usize = 8;

/// The owners of one server, with the membership generation and the zone that
/// they were computed from.
#[derive(Clone, Debug)]
struct Entry {
    generation: Generation,
    zone: Zone,
    owners: Arc<[NodeId]>,
}

/// A cache of the owners of each server, valid until the members change.
///
/// Ranking takes time proportional to the number of nodes. With the cache, the
/// nodes are ranked once per change of the members, not once per statement.
#[derive(Debug, Default)]
pub struct Cache {
    servers: Sharded<ServerId, Entry>,
}

impl Cache {
    /// Returns the first `MAX_OWNERS` nodes that may serve `server`, the
    /// preferred one first.
    pub fn owners<P: Policy>(
        &self,
        policy: &P,
        requester: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Arc<[NodeId]> {
        let generation = view.generation();
        let entry = self.servers.get(server);
        if let Some(entry) = entry
            && entry.generation == generation
            && entry.zone == *zone
        {
            return entry.owners;
        }
        let mut owners = policy.owners(requester, server, zone, view);
        owners.truncate(MAX_OWNERS);
        let owners: Arc<[NodeId]> = owners.into();
        let entry = Entry {
            generation,
            zone: zone.clone(),
            owners: Arc::clone(&owners),
        };
        self.servers.insert(server.clone(), entry);
        owners
    }
}
