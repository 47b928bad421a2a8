//! Reports the current status of a server to other nodes.

use super::durability;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;

/// Answers one query for a server's status.
///
/// # Errors
///
/// [`Error`] if the server does not answer, or the querying node disconnected.
pub async fn report_status<P, E>(
    node: &Node<P>,
    mut exchange: E,
    group: &GroupId,
    server: &ServerId,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let now = Instant::now();
    let status = durability::status_since(node, group, server, now).await;
    let status = status.ok_or(Error::Ended)?;
    exchange.send(Frame::Located(status)).await
}
