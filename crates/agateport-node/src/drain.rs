//! The end of a node: it cuts no request.

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

/// Time after which a peer that is told of the end is given up.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are told at once; others hear of it with the next probes.
const MAXIMUM_NOTIFIED: usize = 64;

/// Time that the last answers get to reach the peers.
const LINGER: Duration = Duration::from_millis(250);

/// Takes no new work, tells the peers, and waits until all requests and
/// transactions have finished or the limit of the settings is reached.
pub async fn run<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    tracing::info!(node = %node.config.name, "leaving");
    node.leaving.cancel();
    node.callers.close();
    node.streams.close();
    if timeout(node.config.drain, finish(node)).await.is_err() {
        let (callers, streams) = (node.callers.len(), node.streams.len());
        node.metrics.count("drain", "cut");
        tracing::warn!(callers, streams, "requests are cut at the limit");
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
    // Streams that peers opened before they were told.
    node.streams.wait().await;
}

/// Tells peers at once that this node gets no new work.
async fn notify_peers<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let peers: Vec<Member> = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        let others = view.live().filter(|one| one.name != node.config.name);
        others.take(MAXIMUM_NOTIFIED).cloned().collect()
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
