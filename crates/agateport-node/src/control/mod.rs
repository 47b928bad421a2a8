//! The tasks that keep a node up to date.

mod admin;
mod bundle;
mod membership;
mod status;

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use tokio::net::TcpListener;

/// Starts the control tasks; they end when the node does.
pub fn start<P>(node: &Arc<Node<P>>, admin: TcpListener)
where
    P: Policy + Send + Sync + 'static,
{
    tokio::spawn(membership::run(Arc::clone(node)));
    tokio::spawn(bundle::run(Arc::clone(node)));
    tokio::spawn(status::run(Arc::clone(node)));
    tokio::spawn(admin::run(Arc::clone(node), admin));
}
