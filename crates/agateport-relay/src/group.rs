//! State of a database group at one node: its primary, the lease and its progress.

use crate::clock::uptime;
use crate::pending::Pending;
use agateport_domain::group::roster::VALIDITY;
use agateport_domain::group::{LEASE_DURATION, Leadership, Lease, Progress};
use agateport_domain::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant as Deadline, timeout_at};

/// Time after which a waiting statement requests another confirmation.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a failed wait for the lease during which other statements do not wait.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(300);

/// The server that this node uses as the group's primary. It reports that it is the
/// primary, and the leadership record names it; without a record, no other server of the
/// group reports the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    /// Name of the server.
    pub server: ServerId,
    /// Earliest time at which its writes may be acknowledged. Until then, other nodes
    /// may still read from the former primary.
    pub settled_at: Uptime,
    /// When this node first read the record of its reign. What was sent to the server
    /// earlier may have run while another one was the primary.
    pub since: Uptime,
}

#[derive(Debug, Default)]
struct Inner {
    /// The leadership record, and when this node first saw its reign recorded.
    leadership: Option<(Leadership, Uptime)>,
    leader: Option<ServerId>,
    /// When this node last began to use another primary, or another reign of the same one.
    leader_since: Uptime,
    lease: Lease,
    progress: Progress,
    /// When the last answered read of the record was sent to the store.
    store_read_at: Option<Uptime>,
    /// Whether the servers have extended the lease since that read.
    is_confirmed: bool,
    /// When a wait for the lease last failed.
    last_failed_wait: Option<Uptime>,
}

/// State of a database group at one node.
#[derive(Debug)]
pub struct Group {
    /// Name of the group.
    pub name: GroupId,
    inner: Mutex<Inner>,
    /// What the group's handover waits for.
    pub pending: Pending,
    /// Publishes the expiry of the lease to waiting statements.
    expiry: watch::Sender<Uptime>,
    /// Wakes the task that queries the group's servers to confirm the primary.
    pub confirmation_requested: Notify,
}

impl Group {
    /// Creates a group without a known primary.
    #[must_use]
    pub fn new(name: GroupId) -> Self {
        Self {
            name,
            inner: Mutex::default(),
            pending: Pending::default(),
            expiry: watch::Sender::new(Uptime::ZERO),
            confirmation_requested: Notify::new(),
        }
    }

    /// Applies the leadership record of the store. If `read_at` is given, the time at
    /// which the read was sent, the lease is renewed from it.
    pub fn record_leadership(&self, leadership: Option<Leadership>, read_at: Option<Uptime>) {
        let mut inner = self.lock();
        let known_fence = inner
            .leadership
            .as_ref()
            .map(|(leadership, _)| leadership.fence);
        let fence = leadership.as_ref().map(|leadership| leadership.fence);
        if fence < known_fence {
            // A restored store lacks the known record.
            return;
        }
        let recorded = inner.leadership.as_ref();
        let recorded = recorded.map(|(leadership, _)| leadership.reign());
        let reign = leadership.as_ref().map(Leadership::reign);
        let is_new = recorded != reign;
        // Without a record the node has used the server that the first one names.
        let is_first = recorded.is_none()
            && inner.leader.as_ref() == reign.as_ref().map(|reign| &reign.primary);
        if is_new && !is_first {
            tracing::info!(
                event = "reign_changed",
                group = &*self.name,
                primary = leadership.as_ref().map(|leadership| &*leadership.primary),
                fence = leadership.as_ref().map(|leadership| leadership.fence),
                "the recorded primary of the group changed"
            );
            let until = inner.lease.expiry();
            inner.progress.truncate(until);
            inner.lease = Lease::default();
            inner.leader = None;
            inner.leader_since = uptime();
        }
        let first_seen = match &inner.leadership {
            Some((_, first_seen)) if !is_new => *first_seen,
            _ => uptime(),
        };
        inner.leadership = leadership.map(|leadership| (leadership, first_seen));
        if let Some(sent_at) = read_at {
            inner.store_read_at = inner.store_read_at.max(Some(sent_at));
            inner.is_confirmed = false;
            inner.lease.renew(sent_at);
        }
        let until = inner.lease.expiry();
        drop(inner);
        self.expiry.send_replace(until);
    }

    /// Returns the recorded primary, and the servers that must be queried at `now` to
    /// confirm that it is the only one. Returns none without a record, and once the record
    /// that was read may lack a server that has been promoted.
    #[must_use]
    pub fn confirmable(&self, now: Uptime) -> Option<(ServerId, BTreeSet<ServerId>)> {
        let inner = self.lock();
        let (leadership, _) = inner.leadership.as_ref()?;
        let read_at = inner.store_read_at?;
        if now >= read_at + VALIDITY || inner.leader.as_ref() != Some(&leadership.primary) {
            return None;
        }
        // A record of an older version lists no servers.
        leadership.roster.standing(&leadership.primary)?;
        let servers = leadership.roster.servers().cloned().collect();
        Some((leadership.primary.clone(), servers))
    }

    /// Records that the servers that [`Self::confirmable`] named, queried at `sent_at`,
    /// confirmed that `leader` was the only primary.
    ///
    /// Returns whether this is the first confirmation that extends the lease since the
    /// store was last read.
    pub fn confirm(&self, leader: &ServerId, sent_at: Uptime) -> bool {
        let mut inner = self.lock();
        if inner.leader.as_ref() != Some(leader) {
            return false;
        }
        let was_confirmed = inner.is_confirmed;
        inner.is_confirmed |= !inner.lease.covers(sent_at);
        let is_first = inner.is_confirmed && !was_confirmed;
        inner.lease.confirm(sent_at);
        let until = inner.lease.expiry();
        drop(inner);
        self.expiry.send_replace(until);
        is_first
    }

    /// Returns when the last answered read of the record was sent to the store.
    #[must_use]
    pub fn store_read_at(&self) -> Option<Uptime> {
        self.lock().store_read_at
    }

    /// Selects the leader among `claimants`, the registered servers that report that
    /// they are the primary.
    pub fn select_leader(&self, claimants: &[ServerId]) {
        let mut inner = self.lock();
        let leader = match &inner.leadership {
            Some((leadership, _)) => claimants
                .iter()
                .find(|claimant| **claimant == leadership.primary),
            None => claimants.first().filter(|_| claimants.len() == 1),
        };
        if inner.leader.as_ref() == leader {
            return;
        }
        tracing::info!(
            event = "leader_changed",
            group = &*self.name,
            from = inner.leader.as_deref(),
            to = leader.map(|leader| &**leader),
            "the leader of the group changed"
        );
        inner.leader = leader.cloned();
    }

    /// Returns the expiry of the lease: up to then the primary is the only one.
    #[must_use]
    pub fn lease_expiry(&self) -> Uptime {
        self.lock().lease.expiry()
    }

    /// Returns whether a read or query that renewed the lease was sent after `moment`.
    #[must_use]
    pub fn was_renewed_since(&self, moment: Uptime) -> bool {
        moment < self.lock().lease.last_query()
    }

    /// Returns the group's primary, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<Leader> {
        let inner = self.lock();
        let server = inner.leader.clone()?;
        let settled_at = match &inner.leadership {
            Some((leadership, first_seen)) if !leadership.is_settled => {
                *first_seen + LEASE_DURATION
            }
            _ => Uptime::ZERO,
        };
        Some(Leader {
            server,
            settled_at,
            since: inner.leader_since,
        })
    }

    /// Returns the leadership record, and when this node first saw its reign recorded.
    #[must_use]
    pub fn leadership(&self) -> Option<(Leadership, Uptime)> {
        self.lock().leadership.clone()
    }

    /// Records the watermark of `server`, if it is the leader, for a query sent at
    /// `sent_at`.
    pub fn record_progress(&self, server: &ServerId, sent_at: Uptime, watermark: Watermark) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(server) {
            inner.progress.record(sent_at, watermark);
        }
    }

    /// Returns the leader with its latest watermark, and when the query for it was
    /// sent.
    #[must_use]
    pub fn latest_progress(&self) -> Option<(ServerId, Uptime, Watermark)> {
        let inner = self.lock();
        let (sent_at, watermark) = inner.progress.last()?;
        Some((inner.leader.clone()?, sent_at, watermark))
    }

    /// Returns the watermark that a log must have reached to hold everything
    /// acknowledged before `freshness_bound` and the `last_write` of a session; none
    /// while it is unknown.
    #[must_use]
    pub fn floor(
        &self,
        freshness_bound: Uptime,
        last_write: Option<Watermark>,
    ) -> Option<Watermark> {
        let inner = self.lock();
        let (moment, watermark) = inner.progress.floor(freshness_bound)?;
        if !inner.lease.covers(moment) {
            return None;
        }
        let (_, last) = inner.progress.last()?;
        let last_write = match last_write {
            // A handover may have dropped writes of an earlier term; those that were
            // kept precede every known entry of the later term.
            Some(last_write) if last_write.term < last.term => last,
            Some(last_write) => last_write,
            None => watermark,
        };
        Some(watermark.max(last_write))
    }

    /// Returns whether `server` held the lease at `moment`, and so was the only
    /// primary.
    ///
    /// The lease belongs to the current leader: after a change it does not cover the
    /// former primary.
    #[must_use]
    pub fn holds_lease(&self, server: &ServerId, moment: Uptime) -> bool {
        let inner = self.lock();
        inner.leader.as_ref() == Some(server) && inner.lease.covers(moment)
    }

    /// Waits until the lease of `server` covers `moment`, and returns whether it does.
    pub async fn wait_for_lease(
        &self,
        server: &ServerId,
        moment: Uptime,
        deadline: Instant,
    ) -> bool {
        if self.holds_lease(server, moment) {
            return true;
        }
        let mut expiry = self.expiry.subscribe();
        while Instant::now() < deadline {
            self.confirmation_requested.notify_one();
            let retry_at = deadline.min(Instant::now() + CONFIRMATION_INTERVAL);
            let waited = expiry.wait_for(|until| moment < *until);
            // After a timeout, another confirmation is requested.
            let _ = timeout_at(Deadline::from_std(retry_at), waited).await;
            if self.holds_lease(server, moment) {
                return true;
            }
        }
        false
    }

    /// Like [`Self::wait_for_lease`], for a statement that has not been sent. After a
    /// failed wait, other statements do not wait for `FAILED_WAIT_PAUSE` unless the
    /// lease is renewed, because their callers can be served elsewhere.
    pub async fn wait_for_lease_before_send(
        &self,
        server: &ServerId,
        moment: Uptime,
        deadline: Instant,
    ) -> bool {
        let has_just_failed = {
            let inner = self.lock();
            let until = inner.lease.expiry();
            let failed = inner.last_failed_wait.filter(|failed| until < *failed);
            failed.is_some_and(|failed| uptime() < failed + FAILED_WAIT_PAUSE)
        };
        if has_just_failed {
            self.confirmation_requested.notify_one();
            return self.holds_lease(server, moment);
        }
        let has_lease = self.wait_for_lease(server, moment, deadline).await;
        if !has_lease {
            self.lock().last_failed_wait = Some(uptime());
        }
        has_lease
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
