//! Checks that a server meets the requirement of a request.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::request::{Command, Reason, Refusal, Requirement};
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for the primary to report a watermark that the session has seen.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks the server, after waiting for it to catch up if it is behind.
///
/// # Errors
///
/// A refusal if the server does not meet the requirement.
pub async fn wait<P>(node: &Node<P>, command: &Command) -> Result<(), Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    let is_behind = || check(node, command).is_err_and(|refusal| refusal.reason == Reason::Behind);
    if !is_behind() {
        return check(node, command);
    }
    node.metrics.count("waited", "behind");
    let max_wait = match command.requirement {
        // The current primary holds the watermark; its last status may be older.
        Requirement::Primary { .. } => PRIMARY_TIMEOUT,
        Requirement::Replica { maximum_wait, .. } => maximum_wait,
    };
    let _subscription = node.subscriptions.add(&command.group);
    let mut reports = node.reports.subscribe();
    let waiting = async {
        while is_behind() {
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    // The check below determines whether the server caught up in time.
    let _ = timeout(max_wait, waiting).await;
    check(node, command)
}

/// Checks that the server meets the requirement by its last status.
///
/// # Errors
///
/// A refusal if it does not.
pub fn check<P>(node: &Node<P>, command: &Command) -> Result<(), Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    let status = node
        .groups
        .update(&command.group, |group| group.status(&command.server));
    let (status, as_of) = status.flatten().ok_or(Reason::UpstreamUnreachable)?;
    let age = status.age.map(|age| age + as_of.elapsed());
    Ok(command.requirement.check(status, age)?)
}
