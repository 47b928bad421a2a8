//! Waits until a write is certain.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use tokio::time::timeout_at;

/// Waits until the group acknowledges the write at `written`; false if that
/// doesn't happen by `due`.
pub async fn wait<P>(node: &Node<P>, group: &GroupId, written: Watermark, due: Instant) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let mut reports = node.reports.subscribe();
    let is_acknowledged = || {
        let acknowledged = node
            .groups
            .update(group, |group| group.is_acknowledged(written));
        acknowledged.unwrap_or(false)
    };
    if is_acknowledged() {
        return true;
    }
    let _interest = node.interest.raise(group);
    let waiting = async {
        while !is_acknowledged() {
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    timeout_at(due.into(), waiting).await.is_ok()
}
