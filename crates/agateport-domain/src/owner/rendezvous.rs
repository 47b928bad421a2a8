//! The policy of one owner per server, selected by rendezvous hashing.

use super::{Policy, allowance};
use crate::admission::Share;
use crate::bundle::Server;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::{Member, View};
use sha2::{Digest, Sha256};

/// A policy that ranks the nodes by a hash of node and server, those in the
/// server's availability zone first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn owners(
        &self,
        _requester: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Vec<NodeId> {
        order(server, zone, view.live())
    }

    fn share(&self, node: &NodeId, server: &Server, view: &View) -> Share {
        let order = order(&server.name, &server.zone, view.members());
        let position = order.iter().position(|name| name == node);
        let position = position.unwrap_or(order.len());
        Share {
            slots: server.slots,
            connections: allowance(server.connections, order.len(), position),
        }
    }
}

fn order<'a>(
    server: &ServerId,
    zone: &Zone,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<NodeId> {
    let ranked = members.map(|member| {
        let is_remote = member.zone != *zone;
        (is_remote, score(&member.name, server), member.name.clone())
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, name)| name).collect()
}

/// Returns the rendezvous hash of a node for a server.
///
/// All nodes must compute the same hash, whatever program version they run.
pub(crate) fn score(node: &NodeId, server: &ServerId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(node.as_bytes());
    hash.update([0]);
    hash.update(server.as_bytes());
    hash.finalize().into()
}
