//! Failure detection of primaries: suspicions of single nodes, and their
//! confirmation by a quorum.
//!
//! A node that gets no answer from a primary reports it to the coordinator and its
//! possible successors, which query a quorum of nodes from all zones. A failed
//! primary is thus detected within about two answer timeouts, and no single node
//! can declare it down.

use super::peer::Peers;
use super::snapshot::Snapshot;
use crate::clock::uptime;
use crate::message::Command;
use crate::probe;
use crate::protocol::Protocol;
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

/// Interval between two checks for suspected servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two probes of a suspected server, or two reports of it.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of nodes that receive a suspicion in addition to the coordinator: two of
/// each of three zones, so that some of them are running and reach the store.
const RECIPIENTS: usize = 6;

/// Interval between two queries to a quorum about one server.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of a quorum's result: long enough for the leadership record to be
/// written.
const MAX_RESULT_AGE: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Inner {
    /// Servers that were reported since the quorums were last queried.
    reported: BTreeSet<ServerId>,
    /// Whether the quorum found each server unreachable, and when it was queried.
    results: BTreeMap<ServerId, (Uptime, bool)>,
}

/// Suspected servers, and the results of the queries to their quorums.
#[derive(Debug, Default)]
pub struct Suspicions {
    inner: Mutex<Inner>,
    /// Wakes the task that queries the quorums.
    notify: Notify,
}

impl Suspicions {
    /// Records that a node suspects a server to be down.
    pub fn report(&self, server: &ServerId) {
        self.lock().reported.insert(server.clone());
        self.notify.notify_one();
    }

    /// Waits for a suspicion.
    pub async fn wait(&self) {
        self.notify.notified().await;
    }

    /// Returns whether a quorum recently found a server unreachable.
    #[must_use]
    pub fn is_unreachable(&self, server: &ServerId) -> bool {
        let result = self.lock().results.get(server).copied();
        result.is_some_and(|(sent_at, is_unreachable)| {
            is_unreachable && uptime() < sent_at + MAX_RESULT_AGE
        })
    }

    /// Takes the suspected servers, and returns those whose quorums are to be queried
    /// now. The others are dropped; they are reported again while they are suspected.
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

    /// Queries the quorums of the suspected servers, and records their results.
    pub async fn query_quorums<W: Protocol>(&self, upstreams: &Upstreams<W>, records: &Records) {
        let sent_at = uptime();
        let queries = self.take_due().into_iter().map(|server| async move {
            let is_unreachable = query_quorum(&server, upstreams, records).await;
            (server, is_unreachable)
        });
        let results = join_all(queries).await;
        if results.iter().any(|(_, is_unreachable)| *is_unreachable) {
            check_coordinator(upstreams, records).await;
        }
        let mut inner = self.lock();
        for (server, is_unreachable) in results {
            inner.results.insert(server, (sent_at, is_unreachable));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks whether the coordinator is reachable, so that it can be replaced if it is
/// not.
async fn check_coordinator<W: Protocol>(upstreams: &Upstreams<W>, records: &Records) {
    let Some(coordinator) = records.live_coordinator() else {
        return;
    };
    let revision = records.revision;
    let reply = Peers::default()
        .query(coordinator.address, upstreams, revision, Duration::ZERO)
        .await;
    upstreams
        .channels()
        .record_reachability(coordinator.address, reply.is_ok());
}

/// Returns whether the quorum of a server finds it unreachable.
async fn query_quorum<W: Protocol>(
    server: &ServerId,
    upstreams: &Upstreams<W>,
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
        "a quorum of nodes of all zones was queried about a suspected server"
    );
    is_unreachable
}

/// Probes the servers that this node suspects, and reports the primaries among them,
/// until `token` is cancelled.
pub async fn run<W: Protocol>(
    node: NodeId,
    upstreams: Arc<Upstreams<W>>,
    suspicions: Arc<Suspicions>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    token: CancellationToken,
) {
    let mut probed: BTreeMap<ServerId, Uptime> = BTreeMap::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let Some(snapshot) = snapshots.borrow().clone() else {
            continue;
        };
        let now = uptime();
        probed.retain(|_, at| now < *at + REPORT_INTERVAL);
        let primaries = primaries(&upstreams);
        for server in upstreams.suspects() {
            let name = server.entry().server.clone();
            if probed.contains_key(&name) {
                continue;
            }
            probed.insert(name.clone(), now);
            tokio::spawn(probe_suspect(server));
            if primaries.contains(&name) {
                let recipients = recipients(&node, &snapshot.records, &suspicions, &name);
                tokio::spawn(report(upstreams.clone(), recipients, name));
            }
        }
    }
}

/// Probes a suspected server; an answer ends the suspicion.
async fn probe_suspect<W: Protocol>(server: Arc<Server<W>>) {
    if let Err(error) = server.request_status(Command::Status).await {
        let name = &*server.entry().server;
        tracing::debug!(server = name, %error, "a suspected server did not return its status");
    }
}

async fn report<W: Protocol>(
    upstreams: Arc<Upstreams<W>>,
    recipients: Vec<SocketAddr>,
    server: ServerId,
) {
    let channels = upstreams.channels();
    let reports = recipients
        .iter()
        .map(|address| channels.report_suspicion(*address, &server));
    join_all(reports).await;
}

/// Returns the primaries in use, and those that are recorded and may not lead yet.
fn primaries<W: Protocol>(upstreams: &Upstreams<W>) -> BTreeSet<ServerId> {
    let groups = upstreams.groups().into_iter();
    let servers = groups.flat_map(|group| {
        let group = upstreams.group(&group);
        let leader = group.leader().map(|leader| leader.server);
        let recorded = group.leadership().map(|(leadership, _)| leadership.primary);
        [leader, recorded]
    });
    servers.flatten().collect()
}

/// Returns the other nodes that a suspicion is sent to. If this node is one of the
/// recipients, it records the suspicion itself.
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
        .filter_map(|node| records.members.get(node));
    members.map(|member| member.address).collect()
}
