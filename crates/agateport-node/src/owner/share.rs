//! Keeps this node's shares of the servers up to date.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use std::sync::PoisonError;
use tokio::time::sleep;

/// Interval between two updates of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Periodically recomputes this node's share of each server and closes
/// connections that are unused for too long, until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    let updating = async {
        loop {
            update_shares(&node);
            sleep(UPDATE_INTERVAL).await;
        }
    };
    let _ = stopping.run_until_cancelled(updating).await;
}

fn update_shares<P>(node: &Node<P>)
where
    P: Policy + Send + Sync + 'static,
{
    // Copied, so that no two locks are held at once.
    let view = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    };
    let is_joined = view.is_joined();
    let now = Instant::now();
    node.servers.for_each(|_, server| {
        let share = node
            .policy
            .share(&node.config.name, server.declared(), &view);
        server.set_share(share, is_joined, now);
    });
}
