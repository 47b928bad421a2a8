//! Forwards a query to the owner of a server.

use super::query::Query;
use super::route::{Attempt, Response};
use crate::node::Node;
use crate::peers;
use agateport_domain::bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Reason, Requirement};
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;

/// Sends the batch of a query to the first of the two preferred owners of `server` that
/// is reachable and not leaving.
pub async fn attempt<P>(
    node: &Arc<Node<P>>,
    server: &bundle::Server,
    command: Command,
    query: &Query,
) -> Attempt
where
    P: Policy + Send + Sync + 'static,
{
    if let Err(refusal) = node.throttles.admit(&command) {
        node.metrics.count("gate_refused", &command.priority);
        return Attempt::Refused(refusal);
    }
    for owner in node.owners(server).iter().take(2) {
        let Ok(mut link) = peers::link(node, owner).await else {
            node.metrics.count("retried", "owner_unreachable");
            continue;
        };
        if link.send(Frame::Open(command.clone())).await.is_err() {
            node.metrics.count("retried", "owner_unreachable");
            continue;
        }
        // From here on the owner may have received the batch.
        if link.send(Frame::Batch(query.batch.clone())).await.is_err() {
            return Attempt::Unknown;
        }
        return match link.receive().await {
            Ok(Frame::Refused(refusal)) if refusal.reason == Reason::Leaving => {
                node.metrics.count("retried", "owner_leaving");
                continue;
            }
            Ok(Frame::Refused(refusal)) => {
                node.throttles.record_refused(&command, &refusal);
                Attempt::Refused(refusal)
            }
            Ok(Frame::Unknown) | Err(_) => Attempt::Unknown,
            Ok(first) => {
                if matches!(command.requirement, Requirement::Primary { .. }) {
                    node.groups
                        .update(&command.group, |group| group.set_hint(&command.server));
                }
                node.throttles.record_accepted(&command);
                Attempt::Started(Response { link, first })
            }
        };
    }
    Attempt::Refused(Reason::OwnerUnreachable.into())
}
