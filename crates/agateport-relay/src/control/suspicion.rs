//! Servers that nodes take for lost, until the others were asked.
//!
//! A node whose question to a primary stays open tells those who may order
//! promotions; they ask a panel of nodes from all zones. So a primary is found to
//! be lost within about two limits of an answer, and no node alone can say so.

use super::peer::Peers;
use super::poller::Snapshot;
use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::message::Order;
use crate::probe;
use crate::record::Records;
use crate::server::Server;
use crate::upstreams::Upstreams;
use agateport_domain::group::{Quorum, Vote};
use agateport_domain::prelude::*;
use futures::future::join_all;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Time between two looks for suspected servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two questions to a suspected server, or two words of doubt.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes that hear of a doubt besides the holder of the duty: two of each of
/// three zones, so that some of them are up and reach the store.
const RECIPIENTS: usize = 6;

/// Time between two questions to a panel about one server.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Age up to which what a panel found counts: until the record is written.
const RESULT_AGE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Inner {
    reported: BTreeSet<ServerId>,
    /// What the panel found, and when it was asked.
    results: BTreeMap<ServerId, (Uptime, bool)>,
}

/// Servers that nodes take for lost, and what panels found of them.
#[derive(Debug, Default)]
pub struct Suspicions {
    inner: Mutex<Inner>,
    /// Wakes the one who asks the panels.
    reported: Notify,
}

impl Suspicions {
    /// Takes in that a node takes a server for lost.
    pub fn report(&self, server: &ServerId) {
        self.lock().reported.insert(server.clone());
        self.reported.notify_one();
    }

    /// Waits for a doubt.
    pub async fn wait(&self) {
        self.reported.notified().await;
    }

    /// Tells whether a panel found a server to be lost just now.
    #[must_use]
    pub fn is_unreachable(&self, server: &ServerId) -> bool {
        let result = self.lock().results.get(server).copied();
        result
            .is_some_and(|(sent_at, is_unreachable)| is_unreachable && uptime() < sent_at + RESULT_AGE)
    }

    /// Returns the servers whose panels are to be asked now.
    fn take_due(&self) -> Vec<ServerId> {
        let now = uptime();
        let mut inner = self.lock();
        let reported = std::mem::take(&mut inner.reported);
        let is_due = |server: &ServerId| {
            let result = inner.results.get(server);
            result.is_none_or(|(sent_at, _)| now >= *sent_at + QUERY_INTERVAL)
        };
        reported.into_iter().filter(is_due).collect()
    }

    /// Asks the panels of the servers that are in doubt.
    pub async fn resolve<D: Dialect>(&self, upstreams: &Upstreams<D>, records: &Records) {
        let sent_at = uptime();
        let queries = self.take_due().into_iter().map(|server| async move {
            let is_unreachable = query_quorum(&server, upstreams, records).await;
            (server, is_unreachable)
        });
        let found = join_all(queries).await;
        if found.iter().any(|(_, is_unreachable)| *is_unreachable) {
            check_coordinator(upstreams, records).await;
        }
        let mut inner = self.lock();
        for (server, is_unreachable) in found {
            inner.results.insert(server, (sent_at, is_unreachable));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Finds out whether the holder of the duty is there to act on a finding.
async fn check_coordinator<D: Dialect>(upstreams: &Upstreams<D>, records: &Records) {
    let Some(coordinator) = records.live_coordinator() else {
        return;
    };
    let version = records.version;
    let reply = Peers::default()
        .ask(coordinator.address, upstreams, version)
        .await;
    upstreams
        .channels()
        .record_reachability(coordinator.address, reply.is_ok());
}

/// Tells whether most nodes of a server's panel can't reach it.
async fn query_quorum<D: Dialect>(
    server: &ServerId,
    upstreams: &Upstreams<D>,
    records: &Records,
) -> bool {
    let members = &records.members;
    let nodes = members.iter().map(|(node, member)| (node, &member.zone));
    let quorum = Quorum::new(server, nodes);
    let queries = quorum.nodes().map(|node| async move {
        let Some(member) = members.get(node) else {
            return Vote::Untold;
        };
        match upstreams.channels().probe(member.address, server).await {
            probe::Outcome::Status(_) | probe::Outcome::Reachable => Vote::Reached,
            probe::Outcome::Unreachable => Vote::Missed,
            probe::Outcome::Unknown => Vote::Untold,
        }
    });
    let votes = join_all(queries).await;
    let is_unreachable = quorum.is_unreachable(&votes);
    tracing::info!(
        event = "panel_asked",
        server = &**server,
        ?votes,
        is_lost = is_unreachable,
        "some nodes of every zone were asked whether they reach a server"
    );
    is_unreachable
}

/// Watches the servers that this node suspects until it ends.
pub async fn run<D: Dialect>(
    node: NodeId,
    upstreams: Arc<Upstreams<D>>,
    suspicions: Arc<Suspicions>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    token: CancellationToken,
) {
    let mut reported: BTreeMap<ServerId, Uptime> = BTreeMap::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let Some(snapshot) = snapshots.borrow().clone() else {
            continue;
        };
        let now = uptime();
        reported.retain(|_, at| now < *at + REPORT_INTERVAL);
        let primaries = primaries(&upstreams);
        for server in upstreams.suspects() {
            let name = server.entry().server.clone();
            if reported.contains_key(&name) {
                continue;
            }
            reported.insert(name.clone(), now);
            tokio::spawn(probe_suspect(server));
            if primaries.contains(&name) {
                let recipients = recipients(&node, &snapshot.records, &suspicions, &name);
                tokio::spawn(report(upstreams.clone(), recipients, name));
            }
        }
    }
}

/// Asks a suspected server what it is; an answer ends the suspicion.
async fn probe_suspect<D: Dialect>(server: Arc<Server<D>>) {
    if let Err(error) = server.request_status(Order::Status).await {
        let name = &*server.entry().server;
        tracing::debug!(server = name, %error, "a suspected server gave no status");
    }
}

async fn report<D: Dialect>(
    upstreams: Arc<Upstreams<D>>,
    recipients: Vec<SocketAddr>,
    server: ServerId,
) {
    let channels = upstreams.channels();
    let reports = recipients
        .iter()
        .map(|address| channels.report_suspicion(*address, &server));
    join_all(reports).await;
}

fn primaries<D: Dialect>(upstreams: &Upstreams<D>) -> BTreeSet<ServerId> {
    let groups = upstreams.groups().into_iter();
    let leaders = groups.filter_map(|group| upstreams.group(&group).leader());
    leaders.map(|leader| leader.server).collect()
}

/// Returns the nodes that are told of a doubt; this node itself is told at once.
fn recipients(
    node: &NodeId,
    records: &Records,
    suspicions: &Suspicions,
    server: &ServerId,
) -> Vec<SocketAddr> {
    let coordinator = records.coordinator.as_ref().map(|(row, _)| &row.holder);
    let successors = records.succession_order().into_iter().take(RECIPIENTS);
    let mut recipients: BTreeSet<_> = successors.chain(coordinator).collect();
    if recipients.remove(node) {
        suspicions.report(server);
    }
    let members = recipients
        .into_iter()
        .filter_map(|one| records.members.get(one));
    members.map(|member| member.address).collect()
}
