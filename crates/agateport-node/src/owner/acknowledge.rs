//! Waits until a write is certain.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Requirement};
use tokio::time::{sleep, timeout_at};

/// Interval between two looks at whether a server is lost.
const LOOK: Duration = Duration::from_millis(50);

/// Waits until the group acknowledges the write at `written`; false if that
/// doesn't happen by `due`, or can't happen any more.
pub async fn wait<P>(node: &Node<P>, group: &GroupId, written: Watermark, due: Instant) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let mut reports = node.reports.subscribe();
    let verdict = || {
        let verdict = node.groups.update(group, |group| {
            let is_acknowledged = group.is_acknowledged(written);
            (is_acknowledged || group.is_superseded(written)).then_some(is_acknowledged)
        });
        verdict.unwrap_or(Some(false))
    };
    if let Some(verdict) = verdict() {
        return verdict;
    }
    let _interest = node.interest.raise(group);
    let waiting = async {
        loop {
            if let Some(verdict) = verdict() {
                return verdict;
            }
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    timeout_at(due.into(), waiting).await.unwrap_or(false)
}

/// Waits until no answer of the command's server can be hoped for: the server
/// doesn't even answer about its status, or another primary has taken over.
pub async fn lost<P>(node: &Node<P>, command: &Command)
where
    P: Policy + Send + Sync + 'static,
{
    let is_lost = || {
        let lost = node.groups.update(&command.group, |group| {
            let is_silent = group.is_silent(&command.server, Instant::now());
            let is_replaced = matches!(command.requirement, Requirement::Primary { .. })
                && group
                    .primary()
                    .is_some_and(|primary| *primary != command.server);
            group.is_known(&command.server) && (is_silent || is_replaced)
        });
        lost.unwrap_or(false)
    };
    while !is_lost() {
        sleep(LOOK).await;
    }
}
