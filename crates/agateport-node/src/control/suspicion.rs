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
        let asked = timeout(ANSWER_TIMEOUT, ask(node, witness, &group.name, server));
        asked.await.ok().and_then(Result::ok)
    });
    let answers = join_all(asking).await;
    let answers: Vec<bool> = answers.into_iter().flatten().collect();
    let silent = 1 + answers.iter().filter(|is_silent| **is_silent).count();
    2 * silent > 1 + answers.len()
}

async fn ask<P>(
    node: &Arc<Node<P>>,
    witness: &NodeId,
    group: &GroupId,
    server: &ServerId,
) -> Result<bool, Error>
where
    P: Policy + Send + Sync + 'static,
{
    let mut link = peers::link(node, witness).await?;
    let question = Frame::Suspect(Arc::clone(group), Arc::clone(server));
    link.send(question).await?;
    match link.receive().await? {
        Frame::Verdict(is_silent) => Ok(is_silent),
        _ => Err(Error::Ended),
    }
}

/// Tells whether this node can't reach the server either.
pub async fn judge<P>(node: &Node<P>, group: &GroupId, server: &ServerId) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let now = Instant::now();
    let known = node.groups.update(group, |group| {
        group.is_known(server) && group.is_silent(server, now)
    });
    if known == Some(true) {
        return true;
    }
    let Some(bundle) = node.bundle() else {
        return false;
    };
    let Some((_, server)) = bundle.server(server) else {
        return false;
    };
    let probing = async { Control::connect(server.address).await?.status().await };
    !matches!(timeout(PROBE_TIMEOUT, probing).await, Ok(Ok(_)))
}
