//! Exchanges the bundle in force with peers.

use super::{accepted, active, offer, revision, view};
use crate::node::Node;
use agateport_domain::bundle::{Comparison, Revision, dissemination};
use agateport_domain::membership::Member;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use agateport_wire::signed;
use bytes::Bytes;
use std::sync::PoisonError;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time limit for an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Exchanges revisions with one peer in each interval.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        for peer in peers(&node, 1) {
            exchange(&node, &peer).await;
        }
        sleep(dissemination::EXCHANGE_INTERVAL).await;
    }
}

/// Announces the last accepted bundle to a few peers whenever it changes.
pub async fn announce<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.accepted.subscribe();
    while bundles.changed().await.is_ok() {
        let mut exchanges = JoinSet::new();
        for peer in peers(&node, dissemination::FANOUT) {
            let node = Arc::clone(&node);
            exchanges.spawn(async move { exchange(&node, &peer).await });
        }
        exchanges.join_all().await;
    }
}

fn peers<P>(node: &Node<P>, count: usize) -> Vec<Member> {
    let view = view(node);
    let mut dissemination = node
        .dissemination
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    dissemination.peers(&view, count)
}

async fn exchange<P>(node: &Node<P>, peer: &Member)
where
    P: Policy + Send + Sync + 'static,
{
    let result = timeout(EXCHANGE_TIMEOUT, exchange_revisions(node, peer)).await;
    if let Ok(Ok(())) = result {
        let mut dissemination = node
            .dissemination
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        dissemination.record_answer(Instant::now());
        return;
    }
    node.metrics.count("bundle", "peer_unreachable");
}

async fn exchange_revisions<P>(node: &Node<P>, peer: &Member) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let connection = node.peers.connection(peer).await?;
    let mut stream = connection.open().await?;
    stream.send(Frame::Revision(revision(node))).await?;
    match stream.receive().await? {
        Frame::Bundle(bytes) => offer(node, signed::decode(&bytes)?),
        Frame::Revision(theirs) => {
            if let Some(bytes) = newer_than(node, theirs.as_ref())? {
                stream.send(Frame::Bundle(bytes)).await?;
                stream.receive().await?;
            }
        }
        _ => return Err(Error::Ended),
    }
    Ok(())
}

/// Answers a peer that sent its revision.
///
/// # Errors
///
/// [`Error`] if the peer disconnected or sent an unexpected frame.
pub async fn answer<P, E>(
    node: &Node<P>,
    mut exchange: E,
    theirs: Option<Revision>,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    if let Some(bytes) = newer_than(node, theirs.as_ref())? {
        return exchange.send(Frame::Bundle(bytes)).await;
    }
    exchange.send(Frame::Revision(revision(node))).await?;
    let is_peer_newer =
        theirs.is_some_and(|theirs| active(node).compare(&theirs) == Comparison::Newer);
    if !is_peer_newer {
        return Ok(());
    }
    let Frame::Bundle(bytes) = exchange.receive().await? else {
        return Err(Error::Ended);
    };
    offer(node, signed::decode(&bytes)?);
    exchange.send(Frame::Revision(revision(node))).await
}

/// Returns the encoded bundle in force if it is newer than `theirs`.
fn newer_than<P>(node: &Node<P>, theirs: Option<&Revision>) -> Result<Option<Bytes>, Error> {
    let Some(accepted) = accepted(node) else {
        return Ok(None);
    };
    let is_newer = theirs.is_none_or(|theirs| theirs.version < accepted.revision.version);
    if !is_newer {
        return Ok(None);
    }
    Ok(Some(signed::encode(&accepted.signed)?.into()))
}
