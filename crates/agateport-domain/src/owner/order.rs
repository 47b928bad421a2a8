//! The owners of each server, kept until the members change.

use super::Policy;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::{Revision, View};
use crate::shard::Sharded;
use std::sync::Arc;

/// Owners of one server that are kept; nobody asks further down the order.
pub const KEPT: usize = 8;

/// What was worked out for one server, and from which members.
#[derive(Clone, Debug)]
struct Kept {
    revision: Revision,
    zone: Zone,
    owners: Arc<[NodeId]>,
}

/// The owners of each server, kept until the members change.
///
/// To rank the nodes takes time in proportion to their number; with this it is
/// spent once for each change of the members, not for each statement.
#[derive(Debug, Default)]
pub struct Order {
    servers: Sharded<ServerId, Kept>,
}

impl Order {
    /// Returns the first nodes that may serve `server`, the preferred one first.
    pub fn owners<P: Policy>(
        &self,
        policy: &P,
        asker: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Arc<[NodeId]> {
        let revision = view.revision();
        let kept = self.servers.get(server);
        if let Some(kept) = kept
            && kept.revision == revision
            && kept.zone == *zone
        {
            return kept.owners;
        }
        let mut owners = policy.owners(asker, server, zone, view);
        owners.truncate(KEPT);
        let owners: Arc<[NodeId]> = owners.into();
        let kept = Kept {
            revision,
            zone: zone.clone(),
            owners: Arc::clone(&owners),
        };
        self.servers.insert(server.clone(), kept);
        owners
    }
}
