//! Checks that a server is what a request needs.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::request::{Command, Reason, Refusal, Requirement};
use std::time::Duration;
use tokio::time::timeout;

/// Time that the primary gets to report a place that the session has seen.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks the server, and gives one that is nearly there time to catch up.
///
/// # Errors
///
/// A refusal if the server isn't what the request needs.
pub async fn wait<P>(node: &Node<P>, command: &Command) -> Result<(), Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    let is_behind = || check(node, command).is_err_and(|one| one.reason == Reason::Behind);
    if !is_behind() {
        return check(node, command);
    }
    node.metrics.count("waited", "behind");
    let max_wait = match command.requirement {
        // The primary in force holds the place; its report may be older.
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
    // Whether it was in time, the check tells.
    let _ = timeout(max_wait, waiting).await;
    check(node, command)
}

/// Checks that the server is what the request needs, by its last report.
///
/// # Errors
///
/// A refusal if it isn't.
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
