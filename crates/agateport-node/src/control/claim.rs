//! A group's claim and its primary of record, in the platform's table.

use crate::node::Node;
use agateport_domain::group::promotion::Claim;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::platform::{Error, Operation, Row, RowVersion};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Pause before a record is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// A group's row: the last claim, and the primary that came of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Reign {
    /// Term of the claim; terms are never shared, so it also says whose it is.
    term: Term,
    /// Node that promotes.
    promoter: NodeId,
    /// The new primary; none until the promotion is over.
    primary: Option<ServerId>,
}

/// Unfinished claim of another promoter that was in the way before.
pub type Obstacle = Option<Term>;

fn key(group: &GroupId) -> String {
    format!("primary-{group}")
}

fn parse(row: Option<Row>) -> (RowVersion, Option<Reign>) {
    match row {
        None => (0, None),
        Some(row) => (row.version, serde_json::from_str(&row.value).ok()),
    }
}

/// Claims the group for `term`.
///
/// `reigning` is the term of the primary in force. Another's unfinished claim
/// stands once; when it is still there at the next try, its promoter is taken
/// for dead. Should it wake up, the fence has made its term void.
pub async fn claim<P>(
    node: &Node<P>,
    group: &GroupId,
    term: Term,
    reigning: Term,
    obstacle: Obstacle,
) -> (Claim, Obstacle)
where
    P: Policy + Send + Sync + 'static,
{
    let Ok(row) = node.platform.row(&key(group)).await else {
        return (Claim::Unavailable, obstacle);
    };
    let (version, reign) = parse(row);
    if let Some(reign) = reign {
        let is_own = reign.promoter == node.config.name;
        let is_over = reign.primary.is_some() || reign.term <= reigning;
        let is_known = obstacle == Some(reign.term);
        if reign.term > term || !(is_own || is_over || is_known) {
            return (Claim::Held, Some(reign.term));
        }
    }
    let own = Reign {
        term,
        promoter: node.config.name.clone(),
        primary: None,
    };
    let claim = match write(node, group, version, &own).await {
        Ok(()) => Claim::Acquired,
        Err(_) => settle(node, group, term).await,
    };
    (claim, None)
}

/// Reads back whether a claim with a lost answer took effect.
async fn settle<P>(node: &Node<P>, group: &GroupId, term: Term) -> Claim
where
    P: Policy + Send + Sync + 'static,
{
    let Ok(row) = node.platform.row(&key(group)).await else {
        return Claim::Unavailable;
    };
    match parse(row) {
        (_, Some(reign)) if reign.term == term => Claim::Acquired,
        (_, Some(reign)) if reign.term > term => Claim::Held,
        _ => Claim::Unavailable,
    }
}

/// Records the new primary, however long the platform is down; gives up when a
/// higher term is on record.
pub async fn record<P>(node: &Node<P>, group: &GroupId, primary: &ServerId, term: Term)
where
    P: Policy + Send + Sync + 'static,
{
    let own = Reign {
        term,
        promoter: node.config.name.clone(),
        primary: Some(primary.clone()),
    };
    while !node.stopping.is_cancelled() {
        if let Ok(row) = node.platform.row(&key(group)).await {
            let (version, reign) = parse(row);
            let is_settled = reign.is_some_and(|reign| reign.term > term || reign == own);
            if is_settled || write(node, group, version, &own).await.is_ok() {
                return;
            }
            continue;
        }
        node.metrics.count("retried", "record_primary");
        sleep(RETRY).await;
    }
}

async fn write<P>(
    node: &Node<P>,
    group: &GroupId,
    expected: RowVersion,
    reign: &Reign,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let operation = Operation {
        key: key(group),
        expected,
        value: serde_json::to_string(reign).unwrap_or_default(),
    };
    node.platform.commit(&[operation]).await
}
