//! The claim and the recorded primary of a group, in the platform's table.

use crate::node::Node;
use agateport_domain::group::promotion::Claim;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::platform::{Error, Operation, Row, RowVersion};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Interval between two attempts to record a primary while the platform is
/// unavailable.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A group's row: the last claim and the primary that was promoted under it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Leadership {
    /// Term of the claim; promoters never share a term, so it also identifies the
    /// promoter.
    term: Term,
    /// Node that runs the promotion.
    promoter: NodeId,
    /// The new primary; `None` until the promotion has finished.
    primary: Option<ServerId>,
}

/// Term of the recorded claim that blocked the last attempt: a claim of a higher term,
/// or an unfinished claim of another promoter.
pub type Conflict = Option<Term>;

fn key(group: &GroupId) -> String {
    format!("primary-{group}")
}

fn parse(row: Option<Row>) -> (RowVersion, Option<Leadership>) {
    match row {
        None => (0, None),
        Some(row) => (row.version, serde_json::from_str(&row.value).ok()),
    }
}

/// Claims the group for `term`.
///
/// `primary_term` is the term of the current primary. A recorded claim of a higher
/// term always blocks. Another promoter's unfinished claim blocks one attempt. If it
/// is still there at the next one, its promoter is considered down; should it resume,
/// the fence has invalidated its term.
pub async fn claim<P>(
    node: &Node<P>,
    group: &GroupId,
    term: Term,
    primary_term: Term,
    conflict: Conflict,
) -> (Claim, Conflict)
where
    P: Policy + Send + Sync + 'static,
{
    let Ok(row) = node.platform.row(&key(group)).await else {
        return (Claim::Unavailable, conflict);
    };
    let (version, leadership) = parse(row);
    if let Some(leadership) = leadership {
        let is_own = leadership.promoter == node.config.name;
        let is_finished = leadership.primary.is_some() || leadership.term <= primary_term;
        let is_repeated = conflict == Some(leadership.term);
        if leadership.term > term || !(is_own || is_finished || is_repeated) {
            return (Claim::Held, Some(leadership.term));
        }
    }
    let own = Leadership {
        term,
        promoter: node.config.name.clone(),
        primary: None,
    };
    let claim = match write(node, group, version, &own).await {
        Ok(()) => Claim::Acquired,
        Err(_) => confirm(node, group, term).await,
    };
    (claim, None)
}

/// Reads the row to determine whether a claim whose answer was lost took effect.
async fn confirm<P>(node: &Node<P>, group: &GroupId, term: Term) -> Claim
where
    P: Policy + Send + Sync + 'static,
{
    let Ok(row) = node.platform.row(&key(group)).await else {
        return Claim::Unavailable;
    };
    match parse(row) {
        (_, Some(leadership)) if leadership.term == term => Claim::Acquired,
        (_, Some(leadership)) if leadership.term > term => Claim::Held,
        _ => Claim::Unavailable,
    }
}

/// Records the new primary, retrying for as long as the platform is unavailable.
/// Stops if a higher term is recorded.
pub async fn record<P>(node: &Node<P>, group: &GroupId, primary: &ServerId, term: Term)
where
    P: Policy + Send + Sync + 'static,
{
    let own = Leadership {
        term,
        promoter: node.config.name.clone(),
        primary: Some(primary.clone()),
    };
    while !node.stopping.is_cancelled() {
        if let Ok(row) = node.platform.row(&key(group)).await {
            let (version, leadership) = parse(row);
            let is_recorded =
                leadership.is_some_and(|leadership| leadership.term > term || leadership == own);
            if is_recorded || write(node, group, version, &own).await.is_ok() {
                return;
            }
            continue;
        }
        node.metrics.count("retried", "record_primary");
        sleep(RETRY_INTERVAL).await;
    }
}

async fn write<P>(
    node: &Node<P>,
    group: &GroupId,
    expected: RowVersion,
    leadership: &Leadership,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let operation = Operation {
        key: key(group),
        expected,
        value: serde_json::to_string(leadership).unwrap_or_default(),
    };
    node.platform.commit(&[operation]).await
}
