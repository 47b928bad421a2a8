//! The nodes that monitor a group, and the order in which they start promotions.

use crate::node::Node;
use agateport_domain::bundle::{self, Bundle};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use std::sync::PoisonError;

/// Returns the nodes that monitor a group, which are the owners of its servers,
/// in the order in which they start promotions.
pub fn monitors<P>(node: &Node<P>, group: &bundle::Group) -> Vec<NodeId>
where
    P: Policy + Send + Sync + 'static,
{
    let mut monitors: Vec<NodeId> = Vec::new();
    for server in &group.servers {
        if let Some(owner) = node.owners(server).first()
            && !monitors.contains(owner)
        {
            monitors.push(owner.clone());
        }
    }
    monitors
}

/// Returns up to `count` nodes to query before a promotion: first the other
/// monitors, then any other live nodes.
pub fn voters<P>(node: &Node<P>, group: &bundle::Group, count: usize) -> Vec<NodeId>
where
    P: Policy + Send + Sync + 'static,
{
    let mut names = monitors(node, group);
    let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
    let live = view.live().map(|member| member.name.clone());
    for name in live {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names.retain(|name| *name != node.config.name);
    names.truncate(count);
    names
}

/// Returns this node's rank among the monitors of a group, starting at 0; `None`
/// if it is not one of them.
pub fn rank<P>(node: &Node<P>, bundle: &Bundle, group: &GroupId) -> Option<usize>
where
    P: Policy + Send + Sync + 'static,
{
    let monitors = monitors(node, bundle.group(group)?);
    monitors.iter().position(|name| *name == node.config.name)
}
