//! Keeps up with the store, directly or through a node that has just read it.
//!
//! Each answer renews the leases of the groups' primaries, so the polling interval
//! follows from the lease duration. One node reads the store, the root of the
//! [`agateport_domain::tree::Tree`]; the others follow the nodes above them, which answer
//! as soon as they have news. A node that finds none of them reads the store itself.

use super::peer::{self, Peers};
use super::snapshot::Snapshot;
use super::sources::{Fault, Sources};
use super::trigger::Trigger;
use super::watermark::refresh_watermarks;
use crate::clock::uptime;
use crate::currency::{Origin, VALIDITY};
use crate::metrics::{Metrics, millis};
use crate::protocol::Protocol;
use crate::record::{self, ProcessId, Records};
use crate::source::{self, Head, Reading, Revision, Store};
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Interval between two reads of the store; three fit into the lease duration.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a node that is followed may wait for news: longer than the interval in
/// which it normally has some.
const NEWS_WAIT: Duration = Duration::from_millis(350);

/// Time for which a node that is queried for the first time, or again after a failure, may
/// wait until it knows everything.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Minimum interval between two queries to the same node.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum age of an update from another node. The lease still holds for the time that a
/// read of the store takes then.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(700);

/// Number of other nodes that are queried when the store does not answer.
const FALLBACK_PEERS: usize = 3;

/// Time without an update after which a node that is no reader reads the store itself.
/// Until then one of its sources has usually started, or found another source.
const FOLLOWER_DELAY: Duration = Duration::from_millis(300);

/// Time after which a node that is no reader retries a failed read of the store.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Interval at which the servers are requested to confirm the primaries while neither the
/// store nor another node provides an update.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a node that finds no source tries again.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after which a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum time between retries while the store fails.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Keeps up with the store.
#[derive(Debug)]
pub struct Poller<W, S> {
    /// Name of this node.
    pub node: NodeId,
    /// This process.
    pub process: ProcessId,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Time to wait before the first read of the store, so that nodes that start together
    /// find those that have started before them.
    pub start_delay: Duration,
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
    /// Counts the reads of the store by cause.
    pub metrics: Arc<Metrics>,
}

/// What a poller remembers from one round to the next.
#[derive(Debug, Default)]
struct Progress {
    peers: Peers,
    sources: Sources,
    /// Node that provided the last update.
    followed: Option<SocketAddr>,
    /// Since when no node has provided an update.
    unfed_since: Option<Uptime>,
    /// Earliest time of the next read of the store after a failed one.
    retry_at: Uptime,
    /// Pause after the last failed read; zero if the last one succeeded.
    retry_delay: Duration,
    /// When the servers were last requested to confirm the primaries.
    confirmed_at: Uptime,
}

impl<W: Protocol, S: Store> Poller<W, S> {
    /// Polls until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(self.start_delay) => {}
        }
        let mut progress = Progress::default();
        while !token.is_cancelled() {
            let started_at = uptime();
            let pause = self.advance(&mut progress).await;
            let pause = pause.saturating_sub(uptime().saturating_sub(started_at));
            tokio::select! {
                () = token.cancelled() => return,
                _ = timeout(pause, self.trigger.triggered()) => {}
            }
        }
    }

    /// Obtains the state of the store once. Returns the time from the start of this round
    /// until the next one.
    async fn advance(&self, progress: &mut Progress) -> Duration {
        let known = self.records();
        progress.sources.update(&self.node, &self.zone, &known);
        // A change by this node is read back from the store.
        if self.trigger.take_reread() {
            return self.read_store(progress, "own_change").await;
        }
        let has_started = self.snapshots.borrow().is_some();
        if !has_started {
            return self.read_store(progress, "start").await;
        }
        let is_fed = tokio::select! {
            is_fed = self.follow(progress) => is_fed,
            () = self.trigger.triggered() => {
                self.trigger.poll_now();
                return Duration::ZERO;
            }
        };
        if is_fed {
            progress.unfed_since = None;
            self.set_reading(false);
            return MIN_QUERY_INTERVAL;
        }
        let unfed_since = *progress.unfed_since.get_or_insert_with(uptime);
        let is_reader = progress.sources.is_reader() || *self.reading.borrow();
        if !is_reader && uptime() < unfed_since + FOLLOWER_DELAY {
            return SOURCE_RETRY_DELAY;
        }
        self.read_store(progress, "no_source").await
    }

    /// Reads the store unless a read has just failed.
    async fn read_store(&self, progress: &mut Progress, cause: &'static str) -> Duration {
        if uptime() < progress.retry_at {
            self.request_confirmations(progress);
            return SOURCE_RETRY_DELAY;
        }
        self.metrics.count("store_poll", cause);
        let known = self.records();
        match self.read(&known).await {
            Ok((records, sent_at)) => {
                self.apply(records, sent_at);
                if progress.retry_delay > Duration::ZERO {
                    tracing::info!(event = "store_regained", "the store is available again");
                }
                progress.retry_delay = Duration::ZERO;
                let sources = &mut progress.sources;
                sources.update(&self.node, &self.zone, &self.records());
                if cause == "start" && !sources.due().is_empty() {
                    return Duration::ZERO;
                }
                if cause != "own_change" {
                    self.set_reading(true);
                    tokio::spawn(refresh_watermarks(self.upstreams.clone()));
                }
                INTERVAL
            }
            Err(error) => {
                if progress.retry_delay.is_zero() {
                    tracing::warn!(event = "store_lost", %error, "the store is unavailable");
                }
                let is_reader = progress.sources.is_reader();
                progress.retry_delay = match progress.retry_delay {
                    _ if !is_reader => FOLLOWER_RETRY_DELAY,
                    delay if delay.is_zero() => RETRY_DELAY,
                    delay => (delay * 2).min(MAX_RETRY_DELAY),
                };
                progress.retry_at = uptime() + progress.retry_delay;
                let fallback = self.fallback_peers(&known);
                if !self.query_peers(progress, &fallback).await {
                    self.request_confirmations(progress);
                }
                RETRY_DELAY
            }
        }
    }

    /// Requests that the servers confirm the primaries, as only they can without the store
    /// and without updates.
    fn request_confirmations(&self, progress: &mut Progress) {
        let now = uptime();
        if now >= progress.confirmed_at + CONFIRMATION_INTERVAL {
            progress.confirmed_at = now;
            self.upstreams.request_confirmations();
        }
    }

    /// Waits for news from the nodes that this one follows; returns whether one provided
    /// a fresh update.
    async fn follow(&self, progress: &mut Progress) -> bool {
        let due = progress.sources.due();
        self.query_peers(progress, &due).await
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
    async fn query_peers(&self, progress: &mut Progress, addresses: &[SocketAddr]) -> bool {
        for address in addresses {
            let is_followed = progress.followed == Some(*address);
            let max_wait = if is_followed { NEWS_WAIT } else { FIRST_WAIT };
            let fault = match self.query(&mut progress.peers, *address, max_wait).await {
                Ok(true) => {
                    progress.followed = Some(*address);
                    return true;
                }
                Ok(false) => Fault::Outdated,
                Err(error) => {
                    tracing::debug!(%address, %error, "another node returned no update");
                    match error {
                        peer::Error::Disconnected(_) => Fault::Refused,
                        _ => Fault::Silent,
                    }
                }
            };
            progress.sources.back_off(*address, fault);
            progress.followed = None;
        }
        false
    }

    /// Queries a node and applies its update; returns whether all its parts are fresh.
    async fn query(
        &self,
        peers: &mut Peers,
        address: SocketAddr,
        max_wait: Duration,
    ) -> Result<bool, peer::Error> {
        let records = self.records();
        let (update, answered_at) = peers
            .query(address, &self.upstreams, records.revision, max_wait)
            .await?;
        let origin = Origin::Node(address);
        let read_at = |age: Option<Duration>| age.map(|age| answered_at.saturating_sub(age));
        let currencies = self.upstreams.currencies();
        if let Some(read_at) = read_at(update.catalog_age) {
            let reading = Reading {
                change: update.catalog,
                read_at,
            };
            self.upstreams.apply_catalog(reading, origin);
        }
        let fresh = read_at(update.age).filter(|read_at| uptime() < *read_at + MAX_UPDATE_AGE);
        let Some(sent_at) = fresh else {
            return Ok(false);
        };
        if let Some(registry) = update.registry {
            self.upstreams.apply_registry(registry);
        }
        if let Some(read_at) = read_at(update.registry_age) {
            currencies.registry.confirm(read_at, origin);
        }
        let records = update.records.map_or(records, Arc::new);
        self.apply(records, sent_at);
        let ages = [update.catalog_age, update.registry_age];
        let are_current = ages.iter().all(|age| age.is_some_and(|age| age < VALIDITY));
        if !are_current {
            tracing::debug!(%address, ?ages, "another node's configuration or registry is too old");
        }
        Ok(are_current)
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
    async fn read(&self, known: &Arc<Records>) -> Result<(Arc<Records>, Uptime), source::Error> {
        if known.revision == Revision::default() {
            return self.read_rows().await;
        }
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
            return Ok((known.clone(), sent_at));
        }
        self.read_rows().await
    }

    async fn read_rows(&self) -> Result<(Arc<Records>, Uptime), source::Error> {
        let sent_at = uptime();
        let (rows, revision) = self.store.rows().await?;
        self.observe(Head {
            revision,
            read_at: sent_at,
        });
        let records = Arc::new(Records::parse(&rows, revision.era));
        Ok((records, sent_at))
    }

    /// Applies and publishes rows whose read was sent at `sent_at`, unless newer ones are
    /// known.
    fn apply(&self, records: Arc<Records>, sent_at: Uptime) {
        let former = self.snapshots.borrow().clone();
        let known = former.as_ref().map(|former| former.records.revision);
        if known.is_some_and(|known| records.revision < known) {
            return;
        }
        let snapshot = Snapshot::new(records, sent_at, former.as_ref());
        let records = &snapshot.records;
        // Handovers do not wait for a node that is not a member, so it holds no leases. The
        // row of a former process may still be deleted for that process.
        let is_member = records.is_member(&self.node, self.process);
        let read_at = is_member.then_some(snapshot.sent_at);
        self.upstreams.apply_leaderships(records, read_at);
        self.upstreams.apply_members(&records.members);
        let allowances = self.upstreams.allowances();
        allowances.apply_members(records, snapshot.sent_at);
        if former.is_none() {
            snapshot.report_adopted();
        }
        self.snapshots.send_if_modified(|known| {
            let is_newer = known
                .as_ref()
                .is_none_or(|known| known.sent_at < snapshot.sent_at);
            if is_newer {
                *known = Some(snapshot);
            }
            is_newer
        });
    }
}
