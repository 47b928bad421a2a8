//! Removes crashed nodes from the membership.
//!
//! Each node queries the next one by name. A node that does not answer for a long
//! time is first marked as gone, and its row is deleted later: a marked node renews
//! no more leases, but those that it holds must expire before handovers stop
//! waiting for it. A node that is still running finds itself marked and writes its
//! row again.

use super::peer::Peers;
use super::snapshot::Snapshot;
use crate::clock::uptime;
use crate::protocol::Protocol;
use crate::record::{self, Member, Records};
use crate::source::{Change, Store};
use crate::upstreams::Upstreams;
use agateport_domain::allowance::VIEW_DELAY;
use agateport_domain::group::LEASE_DURATION;
use agateport_domain::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Interval between two queries to the next node.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time without an answer after which the next node is marked as gone: longer than
/// a restart, a pause of its VM or a short partition.
const MARK_AFTER: Duration = Duration::from_secs(15);

/// Time from the mark until the row is deleted; several times the lease duration.
const DELETE_DELAY: Duration = Duration::from_secs(5);

/// The same while nodes count for the allowances of workspaces. A marked node may use its
/// shares for [`VIEW_DELAY`], and a node that starts meanwhile must read the mark.
const COUNTED_DELETE_DELAY: Duration = VIEW_DELAY.saturating_add(Duration::from_secs(2));

/// Time from the stop of a node until its standing is deleted: longer than a restart, and not
/// longer than the time after which a node that ended without notice ceases to count.
const LEFT_DELAY: Duration = MARK_AFTER;

/// Monitors the next node by name.
#[derive(Debug)]
pub struct Monitor<W, S> {
    /// Name of this node.
    pub node: NodeId,
    /// The store that holds the nodes' rows.
    pub store: Arc<S>,
    /// Groups and servers known to this node.
    pub upstreams: Arc<Upstreams<W>>,
}

impl<W: Protocol, S: Store> Monitor<W, S> {
    /// Monitors the next node until `token` is cancelled.
    pub async fn run(self, snapshots: watch::Receiver<Option<Snapshot>>, token: CancellationToken) {
        let mut peers = Peers::default();
        let mut unresponsive: Option<(NodeId, Uptime)> = None;
        let mut marked: BTreeMap<NodeId, Uptime> = BTreeMap::new();
        let mut left: BTreeMap<NodeId, Uptime> = BTreeMap::new();
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(INTERVAL) => {}
            }
            let snapshot = snapshots.borrow().clone();
            let fresh = snapshot.filter(|snapshot| uptime() < snapshot.sent_at + LEASE_DURATION);
            let Some(Snapshot { records, .. }) = fresh else {
                continue;
            };
            self.delete_marked(&records, &mut marked).await;
            self.delete_left(&records, &mut left).await;
            let Some((next, member)) = records.nodes_after(&self.node).next() else {
                continue;
            };
            let sent_at = uptime();
            let revision = records.revision;
            let query = peers.query(member.address, &self.upstreams, revision, Duration::ZERO);
            match query.await {
                Ok(_) => unresponsive = None,
                Err(error) => {
                    let known = unresponsive.take().filter(|(node, _)| node == next);
                    let (_, since) = unresponsive.insert(known.unwrap_or((next.clone(), sent_at)));
                    if uptime() >= *since + MARK_AFTER {
                        tracing::warn!(event = "node_gone", node = &**next, %error, "a node does not answer and is marked as gone");
                        self.mark(&records, next, member).await;
                    }
                }
            }
        }
    }

    async fn mark(&self, records: &Records, node: &NodeId, member: &Member) {
        let gone = Member {
            is_gone: true,
            ..member.clone()
        };
        let key = record::node_key(node);
        let change = Change {
            expected: records.expected_member(node),
            set: BTreeMap::from([(key, record::encode(&gone))]),
            deleted: standing_rows(records, node),
        };
        self.change(change, node).await;
    }

    /// Deletes the rows of nodes that were marked some time ago.
    async fn delete_marked(&self, records: &Records, marked: &mut BTreeMap<NodeId, Uptime>) {
        let delay = if records.standings.is_empty() {
            DELETE_DELAY
        } else {
            COUNTED_DELETE_DELAY
        };
        marked.retain(|node, _| records.gone.contains_key(node));
        for node in records.gone.keys() {
            let since = *marked.entry(node.clone()).or_insert_with(uptime);
            let is_responsible = records.node_before(node) == Some(&self.node);
            if !is_responsible || uptime() < since + delay {
                continue;
            }
            let mut deleted = standing_rows(records, node);
            deleted.extend([record::node_key(node), record::acceptance_key(node)]);
            let change = Change {
                expected: records.expected_member(node),
                deleted,
                ..Change::default()
            };
            self.change(change, node).await;
        }
    }

    /// Deletes the standings of nodes that left at least [`LEFT_DELAY`] ago, unless they have
    /// returned.
    async fn delete_left(&self, records: &Records, left: &mut BTreeMap<NodeId, Uptime>) {
        let nodes: BTreeSet<_> = records.left().map(|(node, _)| node).collect();
        left.retain(|node, _| nodes.contains(node));
        for node in nodes {
            let since = *left.entry(node.clone()).or_insert_with(uptime);
            let is_responsible = records.node_before(node) == Some(&self.node);
            if !is_responsible || uptime() < since + LEFT_DELAY {
                continue;
            }
            let mut expected = records.expected_member(node);
            if let Some((_, version)) = records.standings.get(node) {
                expected.insert(record::standing_key(node), *version);
            }
            let change = Change {
                expected,
                deleted: standing_rows(records, node),
                ..Change::default()
            };
            self.change(change, node).await;
        }
    }

    async fn change(&self, change: Change, node: &NodeId) {
        if let Err(error) = self.store.change(record::with_change_marker(change)).await {
            tracing::info!(event = "node_kept", node = &**node, %error, "the row of an unresponsive node was not changed");
        }
    }
}

/// Returns the key of a node's standing if there is one.
fn standing_rows(records: &Records, node: &NodeId) -> BTreeSet<String> {
    let is_known = records.standings.contains_key(node);
    let key = is_known.then(|| record::standing_key(node));
    key.into_iter().collect()
}
