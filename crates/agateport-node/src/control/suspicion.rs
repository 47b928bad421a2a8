//! Asks other nodes whether they can reach a primary before it is replaced.

use crate::control::watcher;
use crate::node::Node;
use crate::peers;
use agateport_domain::bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use agateport_wire::postgres::control::Control;
use futures::future::join_all;
use tokio::time::timeout;

/// Other nodes that are asked.
const WITNESSES: usize = 2;

/// Time that a server has to answer when it is tried anew.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that a node has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Tells whether most of the nodes that answer, this one included, can't reach
/// `server`.
///
/// A node that nobody answers decides alone: without a majority of the group's
/// servers its promotion gets nowhere anyway.
pub async fn is_confirmed<P>(node: &Arc<Node<P>>, group: &bundle::Group, server: &ServerId) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let witnesses = watcher::witnesses(node, group, WITNESSES);
    let asking = witnesses.iter().map(|witness| async move {
        let asked = timeout(ANSWER_TIMEOUT, ask(node, witness, server));
        asked.await.ok().and_then(Result::ok)
    });
    // This node may have stood still itself: it tries once more too.
    let (own, answers) = tokio::join!(judge(node, server), join_all(asking));
    let answers: Vec<bool> = answers.into_iter().flatten().collect();
    let silent = answers.iter().filter(|is_silent| **is_silent).count();
    own && 2 * (1 + silent) > 1 + answers.len()
}

async fn ask<P>(node: &Arc<Node<P>>, witness: &NodeId, server: &ServerId) -> Result<bool, Error>
where
    P: Policy + Send + Sync + 'static,
{
    let mut link = peers::link(node, witness).await?;
    link.send(Frame::Suspect(server.clone())).await?;
    match link.receive().await? {
        Frame::Verdict(is_silent) => Ok(is_silent),
        _ => Err(Error::Ended),
    }
}

/// Tells whether this node can't reach the server at this moment.
pub async fn judge<P>(node: &Node<P>, server: &ServerId) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let Some(bundle) = node.bundle() else {
        return false;
    };
    let Some((_, server)) = bundle.server(server) else {
        return false;
    };
    let probing = async { Control::connect(server.address).await?.status().await };
    !matches!(timeout(PROBE_TIMEOUT, probing).await, Ok(Ok(_)))
}
