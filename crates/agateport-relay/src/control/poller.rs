//! Periodic polling of the store, directly or through a node that has just read it.
//!
//! Each answer renews the leases of the groups' primaries, so the polling interval
//! follows from the lease duration. One node of each zone reads the store: the
//! first by name that answers the others.

use super::peer::Peers;
use super::trigger::Trigger;
use crate::clock::uptime;
use crate::currency::{Origin, VALIDITY};
use crate::metrics::millis;
use crate::permit;
use crate::protocol::Protocol;
use crate::record::{self, Records};
use crate::source::{self, Head, Reading, Revision, Store};
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use futures::future::join_all;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Interval between two reads of the store; three fit into the lease duration.
const INTERVAL: Duration = Duration::from_millis(300);

/// Interval between two queries to another node, which are cheap.
const PEER_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum age of an update from another node: its polling interval plus a slow
/// answer of the store.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(550);

/// Number of nodes of the same zone that are queried before the store.
const PREFERRED_PEERS: usize = 2;

/// Number of other nodes that are queried when the store does not answer.
const FALLBACK_PEERS: usize = 3;

/// Time for which a node keeps reading the store after other nodes failed to
/// provide an update.
const READER_DURATION: Duration = Duration::from_secs(2);

/// Time after which a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum time between retries while the store fails.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Age of a primary's watermark after which it is queried again. Reads at replicas
/// need a watermark younger than the staleness that their route allows, also during
/// a handover.
const WATERMARK_REFRESH_AGE: Duration = Duration::from_millis(250);

/// The rows of the store at one read.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The rows.
    pub records: Arc<Records>,
    /// When the read was sent to the store, or a lower bound of it.
    pub sent_at: Uptime,
}

impl Snapshot {
    /// Returns the time since the read was sent.
    #[must_use]
    pub fn age(&self) -> Duration {
        uptime().saturating_sub(self.sent_at)
    }
}

/// Polls the store.
#[derive(Debug)]
pub struct Poller<W, S> {
    /// Name of this node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// The store that is read.
    pub store: Arc<S>,
    /// State that the records are applied to.
    pub upstreams: Arc<Upstreams<W>>,
    /// Publishes the snapshots to the other tasks.
    pub snapshots: watch::Sender<Option<Snapshot>>,
    /// Publishes whether this node reads the store itself.
    pub reading: watch::Sender<bool>,
    /// Publishes the latest state of the store that was read.
    pub heads: watch::Sender<Option<Head>>,
    /// Triggers a poll before its interval has elapsed.
    pub trigger: Arc<Trigger>,
}

impl<W: Protocol, S: Store> Poller<W, S> {
    /// Polls until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut pause = INTERVAL;
        let mut is_store_reachable = true;
        let mut peers = Peers::default();
        let mut reader_until = Uptime::ZERO;
        while !token.is_cancelled() {
            let started_at = uptime();
            let known = self.records();
            // A change by this node is read back from the store.
            let is_own_change = self.trigger.take_reread();
            let may_query_peers = started_at >= reader_until && !is_own_change;
            let is_updated = may_query_peers
                && self
                    .query_peers(&mut peers, &self.preferred_peers(&known))
                    .await;
            if !is_own_change {
                // Receivers are notified only if the value changes.
                self.set_reading(!is_updated);
            }
            if is_updated {
                pause = PEER_INTERVAL.saturating_sub(uptime().saturating_sub(started_at));
            } else {
                if may_query_peers && !self.preferred_peers(&known).is_empty() {
                    reader_until = started_at + READER_DURATION;
                }
                match self.read(&known).await {
                    Ok(snapshot) => {
                        self.apply(snapshot);
                        if !is_store_reachable {
                            tracing::info!(
                                event = "store_regained",
                                "the store is available again"
                            );
                        }
                        is_store_reachable = true;
                        tokio::spawn(refresh_watermarks(self.upstreams.clone()));
                        pause = INTERVAL.saturating_sub(uptime().saturating_sub(started_at));
                    }
                    Err(error) => {
                        if is_store_reachable {
                            tracing::warn!(event = "store_lost", %error, "the store is unavailable");
                            pause = RETRY_DELAY;
                        } else {
                            pause = (pause * 2).min(MAX_RETRY_DELAY);
                        }
                        is_store_reachable = false;
                        if !self
                            .query_peers(&mut peers, &self.fallback_peers(&known))
                            .await
                        {
                            // Without the store and without updates, only the servers
                            // themselves can confirm the primaries.
                            self.upstreams.request_confirmations();
                        }
                    }
                }
            }
            tokio::select! {
                () = token.cancelled() => return,
                _ = timeout(pause, self.trigger.triggered()) => {}
            }
        }
    }

    /// Publishes whether this node reads the store itself.
    fn set_reading(&self, is_reading: bool) {
        // Receivers are notified only if the value changes.
        let is_changed = self
            .reading
            .send_if_modified(|known| std::mem::replace(known, is_reading) != is_reading);
        if is_changed {
            let currencies = self.upstreams.currencies();
            tracing::info!(
                event = "reader_changed",
                is_reading,
                configuration_age_ms = currencies.catalog.age().map(millis),
                registry_age_ms = currencies.registry.age().map(millis),
                "the node began or ended reading the store itself"
            );
        }
    }

    fn records(&self) -> Arc<Records> {
        let snapshot = self.snapshots.borrow();
        snapshot
            .as_ref()
            .map(|snapshot| snapshot.records.clone())
            .unwrap_or_default()
    }

    /// Returns the nodes to query before the store: the first of the zone that
    /// precede this one by name.
    fn preferred_peers(&self, known: &Records) -> Vec<SocketAddr> {
        let members = known.members.iter();
        let same_zone = members.filter(|(_, member)| member.zone == self.zone);
        let preceding = same_zone.take_while(|(node, _)| **node != self.node);
        preceding
            .take(PREFERRED_PEERS)
            .map(|(_, member)| member.address)
            .collect()
    }

    /// Returns the nodes to query when the store does not answer: those that follow
    /// this one by name, wrapping around.
    fn fallback_peers(&self, known: &Records) -> Vec<SocketAddr> {
        known
            .nodes_after(&self.node)
            .take(FALLBACK_PEERS)
            .map(|(_, member)| member.address)
            .collect()
    }

    /// Queries nodes in order until one returns an update all of whose parts are fresh,
    /// and returns whether one did.
    async fn query_peers(&self, peers: &mut Peers, addresses: &[SocketAddr]) -> bool {
        for address in addresses {
            let records = self.records();
            let reply = peers
                .query(*address, &self.upstreams, records.revision)
                .await;
            let (update, asked_at) = match reply {
                Ok(reply) => reply,
                Err(error) => {
                    tracing::debug!(%address, %error, "another node returned no update");
                    continue;
                }
            };
            let origin = Origin::Node(*address);
            let read_at = |age: Option<Duration>| age.map(|age| asked_at.saturating_sub(age));
            let currencies = self.upstreams.currencies();
            if let Some(read_at) = read_at(update.catalog_age) {
                let reading = Reading {
                    change: update.catalog,
                    read_at,
                };
                self.upstreams.apply_catalog(reading, origin);
            }
            let fresh = read_at(update.age).filter(|read_at| uptime() < *read_at + MAX_UPDATE_AGE);
            let Some(sent_at) = fresh else { continue };
            if let Some(registry) = update.registry {
                self.upstreams.apply_registry(registry);
            }
            if let Some(read_at) = read_at(update.registry_age) {
                currencies.registry.confirm(read_at, origin);
            }
            let records = update.records.map_or(records, Arc::new);
            self.apply(Snapshot { records, sent_at });
            let ages = [update.catalog_age, update.registry_age];
            if ages.iter().all(|age| age.is_some_and(|age| age < VALIDITY)) {
                return true;
            }
            tracing::debug!(%address, ?ages, "another node's configuration or registry is too old");
        }
        false
    }

    /// Publishes the state of the store at a read.
    fn observe(&self, head: Head) {
        let former = self.heads.send_replace(Some(head));
        let restored = former.filter(|former| former.revision.era != head.revision.era);
        if let Some(former) = restored {
            tracing::warn!(
                event = "store_restored",
                era = head.revision.era,
                version = head.revision.version,
                former_era = former.revision.era,
                former_version = former.revision.version,
                "the store was restored from a copy"
            );
        }
    }

    /// Reads the row that marks changes, and all rows if its version has changed.
    async fn read(&self, known: &Arc<Records>) -> Result<Snapshot, source::Error> {
        let sent_at = uptime();
        let (row, revision) = self.store.row(record::CHANGES).await?;
        self.observe(Head {
            revision,
            read_at: sent_at,
        });
        let changed_at = row.map(|row| Revision {
            era: revision.era,
            version: row.version,
        });
        if changed_at == Some(known.revision) {
            let records = known.clone();
            return Ok(Snapshot { records, sent_at });
        }
        let sent_at = uptime();
        let (rows, era) = self.store.rows().await?;
        let records = Arc::new(Records::parse(&rows, era));
        Ok(Snapshot { records, sent_at })
    }

    /// Applies and publishes a snapshot unless a newer one is known.
    fn apply(&self, snapshot: Snapshot) {
        let records = &snapshot.records;
        if records.revision < self.records().revision {
            return;
        }
        // Handovers do not wait for a node that is not a member, so it holds no leases.
        let is_member = records.members.contains_key(&self.node);
        let read_at = is_member.then_some(snapshot.sent_at);
        self.upstreams.apply_leaderships(records, read_at);
        self.upstreams.apply_members(&records.members);
        self.snapshots.send_replace(Some(snapshot));
    }
}

/// Queries the primaries whose watermarks no statement has reported recently. The
/// other nodes of the zone receive them with their updates.
async fn refresh_watermarks<W: Protocol>(upstreams: Arc<Upstreams<W>>) {
    let now = uptime();
    let groups = upstreams.groups().into_iter();
    let groups = groups.map(|group| upstreams.group(&group));
    let stale = groups.filter(|group| {
        let latest = group.latest_progress();
        latest.is_none_or(|(_, sent_at, _)| sent_at + WATERMARK_REFRESH_AGE < now)
    });
    let channels = upstreams.channels();
    let queries = stale.map(|group| {
        let leader = group.leader();
        let server = leader.and_then(|leader| upstreams.server(&leader.server));
        async move {
            let Some(server) = server.filter(|server| !server.is_unreachable()) else {
                return;
            };
            let sent_at = uptime();
            let status = permit::status(&server, channels).await;
            if let Some(status) = status.filter(|status| status.is_primary) {
                group.record_progress(&server.entry().server, sent_at, status.last);
            }
        }
    });
    join_all(queries).await;
}
