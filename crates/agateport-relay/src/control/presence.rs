//! Makes a node known to the others, and tells them which records of primaries
//! it has taken over.

use super::poller::Snapshot;
use super::trigger::Trigger;
use crate::record::{self, Acceptance, COORDINATOR, Member, Records};
use crate::source::{Change, Store};
use agateport_domain::prelude::*;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Nodes up to which each says what it has taken over. The words of more come no
/// sooner than a grant's term is over, and cost a write and a read each.
const ACCEPTING_NODES: usize = 16;

/// Makes a node known to the others.
#[derive(Debug)]
pub struct Presence<S> {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Where the others read of it.
    pub store: Arc<S>,
    /// Makes the store be read at once.
    pub trigger: Arc<Trigger>,
}

impl<S: Store> Presence<S> {
    /// Keeps the node's rows up to date until it ends.
    pub async fn run(
        self,
        mut snapshots: watch::Receiver<Option<Snapshot>>,
        token: CancellationToken,
    ) {
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.publish(&snapshot.records).await;
            }
            tokio::select! {
                () = token.cancelled() => return,
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Writes what the rows don't tell of this node yet.
    async fn publish(&self, records: &Records) {
        let mut change = Change::default();
        let known = records.members.get(&self.node);
        if known.is_none_or(|known| known.address != self.address) {
            let member = Member {
                zone: self.zone.clone(),
                address: self.address,
                is_gone: false,
            };
            let key = record::node_key(&self.node);
            change.set.insert(key, record::value(&member));
        }
        if let Some(acceptance) = self.acceptance(records) {
            let key = record::acceptance_key(&self.node);
            change.set.insert(key, record::value(&acceptance));
        }
        if change == Change::default() {
            return;
        }
        match self.store.change(record::with_change_marker(change)).await {
            Ok(_) => self.trigger.reread_store(),
            Err(error) => tracing::warn!(
                event = "presence_unsaid",
                %error,
                "the store took no word of this node"
            ),
        }
    }

    /// Returns what to tell about records that aren't settled; none if nothing
    /// is new.
    ///
    /// The records were applied before they came here, so no former primary is
    /// in use any more.
    fn acceptance(&self, records: &Records) -> Option<Acceptance> {
        if records.members.len() > ACCEPTING_NODES {
            return None;
        }
        let unsettled = records
            .leaderships
            .iter()
            .filter(|(_, (leadership, _))| !leadership.is_settled);
        let versions: BTreeMap<_, _> = unsettled
            .map(|(group, (_, version))| (group.clone(), *version))
            .collect();
        let published = records.acceptances.get(&self.node);
        let is_published = versions.iter().all(|(group, version)| {
            published.is_some_and(|published| published.versions.get(group) == Some(version))
        });
        (!is_published).then_some(Acceptance { versions })
    }
}

/// Gives the duty of promotions back, if `node` holds it.
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
        tracing::warn!(event = "duty_kept", %error, "the duty of promotions could not be given back");
    }
}

/// Takes `node` out of the list of those that are up.
pub async fn leave<S: Store>(node: &NodeId, store: &S) {
    let change = Change {
        deleted: BTreeSet::from([record::node_key(node), record::acceptance_key(node)]),
        ..Change::default()
    };
    if let Err(error) = store.change(record::with_change_marker(change)).await {
        tracing::warn!(event = "leave_unsaid", %error, "the store took no word that the node leaves");
    }
}
