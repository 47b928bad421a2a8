//! Tells other nodes what a server says of itself now.

use super::durability;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;

/// Answers one question for a server's status.
///
/// # Errors
///
/// [`Error`] if the server doesn't answer, or the one who asked is gone.
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
