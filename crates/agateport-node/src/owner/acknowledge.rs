//! Waits for the acknowledgement of writes, or for the failure of a server.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Requirement};
use tokio::time::{sleep, timeout_at};

/// Interval between two checks whether a server has failed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the group acknowledges the write at `written`; returns false if
/// that does not happen by `deadline` or has become impossible.
pub async fn wait<P>(node: &Node<P>, group: &GroupId, written: Watermark, deadline: Instant) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let mut reports = node.reports.subscribe();
    let outcome = || {
        let outcome = node.groups.update(group, |group| {
            let is_acknowledged = group.is_acknowledged(written);
            (is_acknowledged || group.is_superseded(written)).then_some(is_acknowledged)
        });
        outcome.unwrap_or(Some(false))
    };
    if let Some(outcome) = outcome() {
        return outcome;
    }
    let _subscription = node.subscriptions.add(group);
    let waiting = async {
        loop {
            if let Some(outcome) = outcome() {
                return outcome;
            }
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    timeout_at(deadline.into(), waiting).await.unwrap_or(false)
}

/// Waits until the command's server is no longer expected to answer: it does not
/// answer status queries either, or another server has become the primary that
/// the command requires.
pub async fn wait_for_failure<P>(node: &Node<P>, command: &Command)
where
    P: Policy + Send + Sync + 'static,
{
    let has_failed = || {
        let failed = node.groups.update(&command.group, |group| {
            let is_silent = group.is_silent(&command.server, Instant::now());
            let is_replaced = matches!(command.requirement, Requirement::Primary { .. })
                && group
                    .primary()
                    .is_some_and(|primary| *primary != command.server);
            group.is_known(&command.server) && (is_silent || is_replaced)
        });
        failed.unwrap_or(false)
    };
    while !has_failed() {
        sleep(CHECK_INTERVAL).await;
    }
}
