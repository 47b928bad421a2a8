//! Waits until everything that an answer shows survives a failover.

use super::acknowledge;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::Command;
use agateport_wire::Error;
use tokio::time::timeout;

/// Time limit for a server to report its status, which contains the end of its log.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until everything that the command's server holds now is acknowledged.
///
/// A statement whose first rows have arrived sees nothing newer than that.
///
/// # Errors
///
/// [`Error::Ended`] if the server does not report its status, or the
/// acknowledgement takes longer than the target latency or `STATUS_TIMEOUT`,
/// whichever is longer.
pub async fn wait_until_durable<P>(node: &Node<P>, command: &Command) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let now = Instant::now();
    let status = status_since(node, &command.group, &command.server, now).await;
    let last = status.ok_or(Error::Ended)?.last;
    let deadline = Instant::now() + command.target.max(STATUS_TIMEOUT);
    if acknowledge::wait(node, &command.group, last, deadline).await {
        Ok(())
    } else {
        node.metrics.count("lost", "unsettled");
        Err(Error::Ended)
    }
}

/// Waits for the status of a server from a query sent at or after `since`; `None`
/// if the server does not answer one within `STATUS_TIMEOUT`.
pub async fn status_since<P>(
    node: &Node<P>,
    group: &GroupId,
    server: &ServerId,
    since: Instant,
) -> Option<agateport_domain::group::Status>
where
    P: Policy + Send + Sync + 'static,
{
    let _subscription = node.subscriptions.add(group);
    let mut reports = node.reports.subscribe();
    let waiting = async {
        loop {
            let report = node.groups.update(group, |group| group.status(server));
            if let Some((status, as_of)) = report.flatten()
                && as_of >= since
            {
                return status;
            }
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    timeout(STATUS_TIMEOUT, waiting).await.ok()
}
