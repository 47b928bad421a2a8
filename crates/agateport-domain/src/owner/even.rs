//! The baseline: every node connects to every server itself.

use super::Policy;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::View;

/// Every node serves itself, with its even part of slots and connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Even;

impl Policy for Even {
    fn owners(
        &self,
        asker: &NodeId,
        _server: &ServerId,
        _zone: &Zone,
        _view: &View,
    ) -> Vec<NodeId> {
        vec![asker.clone()]
    }
}
