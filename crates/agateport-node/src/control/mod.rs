//! Background tasks of a node: membership, bundles, server status, promotions and
//! the admin port.

mod admin;
mod bundle;
mod claim;
mod membership;
mod monitor;
mod promotion;
pub mod status;
mod suspicion;

use crate::node::Node;
use crate::owner::share;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use tokio::net::TcpListener;

/// Starts the control tasks, which run until the node ends.
pub fn start<P>(node: &Arc<Node<P>>, admin: TcpListener)
where
    P: Policy + Send + Sync + 'static,
{
    tokio::spawn(membership::run(Arc::clone(node)));
    bundle::start(node);
    tokio::spawn(share::run(Arc::clone(node)));
    tokio::spawn(status::run(Arc::clone(node)));
    tokio::spawn(promotion::run(Arc::clone(node)));
    tokio::spawn(admin::run(Arc::clone(node), admin));
}

/// Answers a peer's stream whose first frame is a control frame.
///
/// # Errors
///
/// [`Error`] if the peer disconnected or sent an unexpected frame.
pub async fn answer<P, E>(
    node: &Arc<Node<P>>,
    peer: &NodeId,
    mut exchange: E,
    first: Frame,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    match first {
        Frame::Revision(theirs) => bundle::answer(node, exchange, theirs).await,
        Frame::Leaving => {
            membership::set_leaving(node, peer);
            exchange.send(Frame::Leaving).await
        }
        Frame::Suspect(server) => {
            let verdict = suspicion::is_unreachable(node, &server).await;
            exchange.send(Frame::Verdict(verdict)).await
        }
        Frame::Probe(gossip) => membership::answer(node, &mut exchange, gossip).await,
        Frame::ProbeFor(target, gossip) => {
            membership::relay(node, &mut exchange, &target, gossip).await
        }
        first => {
            // The peer runs another version.
            tracing::warn!(node = %node.config.name, ?first, "unexpected frame from a peer");
            exchange.send(Frame::Unsupported).await
        }
    }
}
