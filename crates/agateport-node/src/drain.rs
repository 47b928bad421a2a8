//! Drains a node: open requests and transactions finish before it ends.

use crate::node::Node;
use agateport_domain::membership::Member;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use std::sync::PoisonError;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time limit for notifying one peer that this node is leaving.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers to notify; the others are informed by the next membership
/// probes.
const MAX_NOTIFIED: usize = 64;

/// Delay before the node ends, for the last answers to reach the peers.
const LINGER: Duration = Duration::from_millis(250);

/// Stops accepting callers, notifies the peers, and waits until all requests and
/// transactions have finished or [`Config::drain`](crate::config::Config::drain)
/// has passed. Then refuses requests of peers and waits for the open streams to end.
pub async fn run<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    tracing::info!(node = %node.config.name, "draining the node");
    node.leaving.cancel();
    node.callers.close();
    node.streams.close();
    if timeout(node.config.drain, finish(node)).await.is_err() {
        let (callers, streams) = (node.callers.len(), node.streams.len());
        node.metrics.count("drain", "cut");
        tracing::warn!(
            callers,
            streams,
            "drain time limit reached with open requests"
        );
    }
    node.closing.cancel();
    sleep(LINGER).await;
    node.streams.wait().await;
}

async fn finish<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    notify_peers(node).await;
    node.callers.wait().await;
    // Peers may have opened streams before they were notified.
    node.streams.wait().await;
}

/// Notifies peers in parallel that this node accepts no new requests.
async fn notify_peers<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let peers: Vec<Member> = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        let others = view.live().filter(|member| member.name != node.config.name);
        others.take(MAX_NOTIFIED).cloned().collect()
    };
    let mut notifications = JoinSet::new();
    for peer in peers {
        let node = Arc::clone(node);
        notifications.spawn(async move {
            if !matches!(
                timeout(NOTIFY_TIMEOUT, notify(&node, &peer)).await,
                Ok(Ok(()))
            ) {
                node.metrics.count("drain", "peer_unreachable");
            }
        });
    }
    notifications.join_all().await;
}

async fn notify<P>(node: &Node<P>, peer: &Member) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let connection = node.peers.connection(peer).await?;
    let mut stream = connection.open().await?;
    stream.send(Frame::Leaving).await?;
    stream.receive().await?;
    Ok(())
}
