//! The baseline policy: each node connects to every server itself.

use super::{Policy, even_allowance};
use crate::admission::Share;
use crate::bundle::Server;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::View;

/// A policy by which each node serves itself, with an even share of the slots
/// and connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Even;

impl Policy for Even {
    fn owners(
        &self,
        requester: &NodeId,
        _server: &ServerId,
        _zone: &Zone,
        _view: &View,
    ) -> Vec<NodeId> {
        vec![requester.clone()]
    }

    fn share(&self, node: &NodeId, server: &Server, view: &View) -> Share {
        let names: Vec<_> = view.members().map(|member| &member.name).collect();
        let position = names.iter().position(|name| *name == node);
        let position = position.unwrap_or(names.len());
        let connections = even_allowance(server.connections, names.len(), position);
        Share {
            // With no slot, the node could run no statement.
            slots: (server.slots / names.len().max(1)).max(1),
            connections,
        }
    }
}
