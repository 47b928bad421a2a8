//! Keeps this node's part of the servers up to date.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use std::sync::PoisonError;
use tokio::time::sleep;

/// Interval between two looks.
const INTERVAL: Duration = Duration::from_millis(250);

/// Works out this node's part of each server again and again, and closes
/// connections that were long unused, until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    let looking = async {
        loop {
            look(&node);
            sleep(INTERVAL).await;
        }
    };
    let _ = stopping.run_until_cancelled(looking).await;
}

fn look<P>(node: &Node<P>)
where
    P: Policy + Send + Sync + 'static,
{
    // A copy, so that no two locks are held at once.
    let view = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    };
    let is_listed = view.is_joined();
    let now = Instant::now();
    node.servers.for_each(|_, server| {
        let share = node
            .policy
            .share(&node.config.name, server.declared(), &view);
        server.set_share(share, is_listed, now);
    });
}
