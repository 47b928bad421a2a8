//! The owners of each server, kept until the members change.

use super::Policy;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::{Revision, View};
use crate::shard::Sharded;
use std::sync::Arc;

/// Owners of one server that are kept; nobody asks further down the order.
pub const MAXIMUM_OWNERS: usize = 8;

/// What was worked out for one server, and from which members.
#[derive(Clone, Debug)]
struct Entry {
    revision: Revision,
    zone: Zone,
    owners: Arc<[NodeId]>,
}

/// The owners of each server, kept until the members change.
///
/// To rank the nodes takes time in proportion to their number; with this it is
/// spent once for each change of the members, not for each statement.
#[derive(Debug, Default)]
pub struct Cache {
    servers: Sharded<ServerId, Entry>,
}

impl Cache {
    /// Returns the first nodes that may serve `server`, the preferred one first.
    pub fn owners<P: Policy>(
        &self,
        policy: &P,
        requester: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Arc<[NodeId]> {
        let revision = view.revision();
        let entry = self.servers.get(server);
        if let Some(entry) = entry
            && entry.revision == revision
            && entry.zone == *zone
        {
            return entry.owners;
        }
        let mut owners = policy.owners(requester, server, zone, view);
        owners.truncate(MAXIMUM_OWNERS);
        let owners: Arc<[NodeId]> = owners.into();
        let entry = Entry {
            revision,
            zone: zone.clone(),
            owners: Arc::clone(&owners),
        };
        self.servers.insert(server.clone(), entry);
        owners
    }
}
