//! Before a primary is replaced, checks with other nodes whether they can reach it.

use crate::control::monitor;
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

/// Number of other nodes to query.
const VOTERS: usize = 2;

/// Time limit for a server to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for a node to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Returns whether `server` is unreachable from this node and from most of the nodes
/// that answered, counting this one.
///
/// If no other node answers, this node decides alone: without a majority of the
/// group's servers its promotion cannot succeed.
pub async fn is_confirmed<P>(node: &Arc<Node<P>>, group: &bundle::Group, server: &ServerId) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let voters = monitor::voters(node, group, VOTERS);
    let queries = voters.iter().map(|voter| async move {
        let answer = timeout(ANSWER_TIMEOUT, query(node, voter, server));
        answer.await.ok().and_then(Result::ok)
    });
    // This node probes again as well, since the failure may be due to a pause of
    // its own process.
    let (is_unreachable, answers) = tokio::join!(is_unreachable(node, server), join_all(queries));
    let answers: Vec<bool> = answers.into_iter().flatten().collect();
    let unreachable = answers
        .iter()
        .filter(|is_unreachable| **is_unreachable)
        .count();
    is_unreachable && 2 * (1 + unreachable) > 1 + answers.len()
}

async fn query<P>(node: &Arc<Node<P>>, voter: &NodeId, server: &ServerId) -> Result<bool, Error>
where
    P: Policy + Send + Sync + 'static,
{
    let mut link = peers::link(node, voter).await?;
    link.send(Frame::Suspect(server.clone())).await?;
    match link.receive().await? {
        Frame::Verdict(is_unreachable) => Ok(is_unreachable),
        _ => Err(Error::Ended),
    }
}

/// Probes a server and returns whether this node cannot reach it.
pub async fn is_unreachable<P>(node: &Node<P>, server: &ServerId) -> bool
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
