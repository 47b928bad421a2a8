//! Publishes a node's membership, and which leadership records it has applied.

use super::snapshot::Snapshot;
use crate::clock::uptime;
use crate::protocol::Protocol;
use crate::record::{self, Acceptance, COORDINATOR, Member, ProcessId, Records, Standing};
use crate::source::{Change, RowVersion, Store};
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use agateport_domain::tree::Capacity;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time after a write in which the records that this node knows may still lack it.
const WRITE_VISIBILITY: Duration = Duration::from_secs(1);

/// Publishes a node's rows in the store.
#[derive(Debug)]
pub struct Presence<W, S> {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Processing power of its VM.
    pub capacity: Capacity,
    /// This process.
    pub process: ProcessId,
    /// The store that the rows are written to.
    pub store: Arc<S>,
    /// State that says whether the node's standing is kept, and what it is.
    pub upstreams: Arc<Upstreams<W>>,
}

impl<W: Protocol, S: Store> Presence<W, S> {
    /// Keeps the node's rows up to date until `token` is cancelled.
    pub async fn run(
        self,
        mut snapshots: watch::Receiver<Option<Snapshot>>,
        token: CancellationToken,
    ) {
        // The version and time of this node's last write.
        let mut written: Option<(RowVersion, Uptime)> = None;
        // The standing of this node's last write. Records that were handed on by nodes of
        // former versions lack it.
        let mut standing = None;
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            let snapshot = snapshot.filter(|snapshot| {
                let known = snapshot.records.revision.version;
                written.is_none_or(|(version, at)| {
                    version <= known || uptime() >= at + WRITE_VISIBILITY
                })
            });
            if let Some(snapshot) = snapshot {
                let version = self.publish(&snapshot.records, &mut standing).await;
                written = version.map(|version| (version, uptime())).or(written);
            }
            tokio::select! {
                () = token.cancelled() => return,
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Writes the rows of this node that are missing or out of date; returns their new
    /// version. The node that reads the store hands the change on.
    ///
    /// The store may carry a write of a process out after the next process of the node has
    /// started. Each therefore writes a row of its own first, and then changes nothing
    /// unless that is still the node's row.
    async fn publish(
        &self,
        records: &Records,
        written: &mut Option<Standing>,
    ) -> Option<RowVersion> {
        let mut change = Change::default();
        let member = Member {
            zone: self.zone.clone(),
            address: self.address,
            capacity: self.capacity,
            process: self.process,
            is_gone: false,
        };
        if records.members.get(&self.node) != Some(&member) {
            let key = record::node_key(&self.node);
            change.set.insert(key, record::encode(&member));
        }
        let standing = self.standing(records);
        self.add_standing(&mut change, standing.as_ref(), records, written.as_ref());
        if let Some(acceptance) = self.acceptance(records) {
            let key = record::acceptance_key(&self.node);
            change.set.insert(key, record::encode(&acceptance));
        }
        if change == Change::default() {
            return None;
        }
        change.expected = records.expected_member(&self.node);
        if let Some((_, version)) = records.standings.get(&self.node) {
            // The standing on which the shares are based may just have been deleted.
            let key = record::standing_key(&self.node);
            change.expected.insert(key, *version);
        }
        match self.store.change(record::with_change_marker(change)).await {
            Ok(version) => {
                *written = standing;
                Some(version)
            }
            Err(error) => {
                tracing::warn!(
                    event = "presence_unsaid",
                    %error,
                    "the rows of this node could not be written"
                );
                None
            }
        }
    }

    /// Returns the standing that this node's row should have; none if it should have none.
    fn standing(&self, records: &Records) -> Option<Standing> {
        let allowances = self.upstreams.allowances();
        let is_kept = allowances
            .has_limits()
            .unwrap_or_else(|| records.standings.contains_key(&self.node));
        is_kept.then(|| Standing {
            zone: self.zone.clone(),
            process: self.process,
            established_in: allowances.is_established().then_some(records.revision.era),
        })
    }

    /// Adds the write or deletion of this node's standing to a change, if it is due.
    fn add_standing(
        &self,
        change: &mut Change,
        standing: Option<&Standing>,
        records: &Records,
        written: Option<&Standing>,
    ) {
        let known = records.standings.get(&self.node);
        let known = known.map(|(standing, _)| standing);
        let key = record::standing_key(&self.node);
        match standing {
            Some(standing) if known != Some(standing) => {
                let is_written = written == Some(standing);
                if !is_written || !records.is_member(&self.node, self.process) {
                    change.set.insert(key, record::encode(standing));
                }
            }
            None if known.is_some() => {
                change.deleted.insert(key);
            }
            _ => {}
        }
    }

    /// Returns the acceptance of the records that are not settled yet, or `None`
    /// if it is already published or there are too many nodes.
    ///
    /// The records are applied before the snapshot is published to this task, so
    /// this node no longer uses the former primaries.
    fn acceptance(&self, records: &Records) -> Option<Acceptance> {
        if !records.has_acceptances() {
            return None;
        }
        let unsettled = records
            .leaderships
            .iter()
            .filter(|(_, (leadership, _))| !leadership.is_settled);
        let versions: BTreeMap<_, _> = unsettled
            .map(|(group, (_, version))| (group.clone(), *version))
            .collect();
        let era = records.revision.era;
        let published = records.acceptances.get(&self.node);
        let published = published.filter(|published| published.era == era);
        let is_published = versions.iter().all(|(group, version)| {
            published.is_some_and(|published| published.versions.get(group) == Some(version))
        });
        (!is_published).then_some(Acceptance { versions, era })
    }
}

/// Deletes the coordinator row if `node` is the coordinator.
pub async fn resign<S: Store>(node: &NodeId, store: &S, records: &Records) {
    let Some((_, version)) = records
        .coordinator
        .as_ref()
        .filter(|(coordinator, _)| coordinator.holder == *node)
    else {
        return;
    };
    let change = Change {
        expected: BTreeMap::from([(COORDINATOR.to_owned(), *version)]),
        deleted: BTreeSet::from([COORDINATOR.to_owned()]),
        ..Change::default()
    };
    if let Err(error) = store.change(record::with_change_marker(change)).await {
        tracing::warn!(event = "duty_kept", %error, "the coordinator row could not be deleted");
    }
}

/// Deletes the rows of `node` unless another process of it has started. Its standing stays
/// if the node counts for the allowances of workspaces, so that its next process continues
/// its shares.
pub async fn leave<S: Store>(node: &NodeId, process: ProcessId, store: &S, records: &Records) {
    if !records.is_member(node, process) {
        return;
    }
    let mut deleted = BTreeSet::from([record::node_key(node), record::acceptance_key(node)]);
    let standing = records.standings.get(node).map(|(standing, _)| standing);
    let is_kept = standing.is_none_or(|standing| {
        let era = records.revision.era;
        standing.process == process && standing.established_in == Some(era)
    });
    if !is_kept {
        deleted.insert(record::standing_key(node));
    }
    let change = Change {
        expected: records.expected_member(node),
        deleted,
        ..Change::default()
    };
    if let Err(error) = store.change(record::with_change_marker(change)).await {
        tracing::warn!(event = "leave_unsaid", %error, "the rows of the leaving node could not be deleted");
    }
}
