//! One database group, as one node knows it: who leads it, and the proof.

use crate::clock::uptime;
use agateport_domain::group::{LEASE_DURATION, Leadership, Lease, Progress};
use agateport_domain::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant as Deadline, timeout_at};

/// Time after which a proof that didn't come is asked for again.
const PROOF_REPEAT: Duration = Duration::from_millis(100);

/// Time after a wait for a proof that was in vain for which nobody waits again.
const PROOF_PAUSE: Duration = Duration::from_millis(300);

/// Time since the store's last answer for which the list of servers is taken to
/// be whole. No server is promoted that has been registered for a shorter time.
pub const VIEW_TERM: Duration = Duration::from_secs(8);

/// A group's primary, and from when on its writes may be acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    /// Name of the server.
    pub server: ServerId,
    /// Until then other nodes may still read from the former primary.
    pub settled: Uptime,
}

#[derive(Debug, Default)]
struct Inner {
    leadership: Option<(Leadership, Uptime)>,
    leader: Option<ServerId>,
    lease: Lease,
    progress: Progress,
    /// When the store was last asked for the record and answered.
    recorded: Uptime,
    /// When a wait for a proof was last in vain.
    unproven: Option<Uptime>,
}

/// One database group.
#[derive(Debug)]
pub struct Group {
    /// Name of the group.
    pub name: GroupId,
    inner: Mutex<Inner>,
    proven: watch::Sender<Uptime>,
    /// Wakes the task that asks the group's servers for a proof.
    pub proof_wanted: Notify,
}

impl Group {
    /// Creates a group of which nothing is known.
    #[must_use]
    pub fn new(name: GroupId) -> Self {
        Self {
            name,
            inner: Mutex::default(),
            proven: watch::Sender::new(Uptime::ZERO),
            proof_wanted: Notify::new(),
        }
    }

    /// Takes in the store's record; it is a proof if it was asked for at
    /// `proven`.
    pub fn record(&self, leadership: Option<Leadership>, proven: Option<Uptime>) {
        let mut inner = self.lock();
        let known = inner
            .leadership
            .as_ref()
            .map(|(leadership, _)| &leadership.primary);
        let is_new = known != leadership.as_ref().map(|leadership| &leadership.primary);
        if is_new
            && inner.leader.as_ref() != leadership.as_ref().map(|leadership| &leadership.primary)
        {
            tracing::info!(
                event = "reign_changed",
                group = &*self.name,
                primary = leadership.as_ref().map(|leadership| &*leadership.primary),
                fence = leadership.as_ref().map(|leadership| leadership.fence),
                "the store records another primary"
            );
            let until = inner.lease.expiry();
            inner.progress.truncate(until);
            inner.lease = Lease::default();
            inner.leader = None;
        }
        let seen = match &inner.leadership {
            Some((_, seen)) if !is_new => *seen,
            _ => uptime(),
        };
        inner.leadership = leadership.map(|leadership| (leadership, seen));
        if let Some(asked) = proven {
            inner.recorded = inner.recorded.max(asked);
            inner.lease.renew(asked);
        }
        let until = inner.lease.expiry();
        drop(inner);
        self.proven.send_replace(until);
    }

    /// Takes in that all other servers, asked at `asked`, were replicas while
    /// `leader` led.
    pub fn observe(&self, leader: &ServerId, asked: Uptime) {
        let mut inner = self.lock();
        if inner.leader.as_ref() != Some(leader) || asked >= inner.recorded + VIEW_TERM {
            return;
        }
        inner.lease.confirm(asked);
        let until = inner.lease.expiry();
        drop(inner);
        self.proven.send_replace(until);
    }

    /// Takes in which registered servers say that they lead.
    pub fn elect(&self, claims: &[ServerId]) {
        let mut inner = self.lock();
        let leader = match &inner.leadership {
            Some((leadership, _)) => claims.iter().find(|one| **one == leadership.primary),
            None => claims.first().filter(|_| claims.len() == 1),
        };
        if inner.leader.as_ref() == leader {
            return;
        }
        tracing::info!(
            event = "leader_changed",
            group = &*self.name,
            from = inner.leader.as_deref(),
            to = leader.map(|leader| &**leader),
            "the group has another leader"
        );
        inner.leader = leader.cloned();
    }

    /// Returns the moment up to which the primary is proven to be the only one.
    #[must_use]
    pub fn proven_until(&self) -> Uptime {
        self.lock().lease.expiry()
    }

    /// Tells whether a proof of the primary was asked for after `moment`, and came.
    #[must_use]
    pub fn was_proven(&self, moment: Uptime) -> bool {
        moment < self.lock().lease.last_query()
    }

    /// Returns the group's primary, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<Leader> {
        let inner = self.lock();
        let server = inner.leader.clone()?;
        let settled = match &inner.leadership {
            Some((leadership, seen)) if !leadership.is_settled => *seen + LEASE_DURATION,
            _ => Uptime::ZERO,
        };
        Some(Leader { server, settled })
    }

    /// Returns the store's record, and when this node first saw it.
    #[must_use]
    pub fn leadership(&self) -> Option<(Leadership, Uptime)> {
        self.lock().leadership.clone()
    }

    /// Takes in how far the log of `server`, asked at `asked`, has come.
    pub fn progress(&self, server: &ServerId, asked: Uptime, place: Watermark) {
        let mut inner = self.lock();
        if inner.leader.as_ref() == Some(server) {
            inner.progress.record(asked, place);
        }
    }

    /// Returns how far the primary's log had come, and when it was asked for that.
    #[must_use]
    pub fn latest(&self) -> Option<(ServerId, Uptime, Watermark)> {
        let inner = self.lock();
        let (asked, place) = inner.progress.last()?;
        Some((inner.leader.clone()?, asked, place))
    }

    /// Returns what a log must hold to have everything that was acknowledged
    /// before `oldest` and what a session has `seen`.
    #[must_use]
    pub fn floor(&self, oldest: Uptime, seen: Option<Watermark>) -> Option<Watermark> {
        let inner = self.lock();
        let (moment, place) = inner.progress.floor(oldest)?;
        if !inner.lease.covers(moment) {
            return None;
        }
        let (_, last) = inner.progress.last()?;
        let seen = match seen {
            // A later leadership may have dropped what an earlier one wrote; what is
            // left of it lies before everything known of the later one.
            Some(seen) if seen.term < last.term => last,
            Some(seen) => seen,
            None => place,
        };
        Some(place.max(seen))
    }

    /// Tells whether `server` was the only primary at `moment`.
    ///
    /// The proof belongs to who leads now: after a change it says nothing of the
    /// former primary.
    #[must_use]
    pub fn is_proven(&self, server: &ServerId, moment: Uptime) -> bool {
        let inner = self.lock();
        inner.leader.as_ref() == Some(server) && inner.lease.covers(moment)
    }

    /// Waits for the proof that `server` was the only primary at `moment`.
    pub async fn prove(&self, server: &ServerId, moment: Uptime, deadline: Instant) -> bool {
        if self.is_proven(server, moment) {
            return true;
        }
        let mut proven = self.proven.subscribe();
        while Instant::now() < deadline {
            self.proof_wanted.notify_one();
            let patience = deadline.min(Instant::now() + PROOF_REPEAT);
            let waited = proven.wait_for(|until| moment < *until);
            // Without news the question is asked again.
            let _ = timeout_at(Deadline::from_std(patience), waited).await;
            if self.is_proven(server, moment) {
                return true;
            }
        }
        false
    }

    /// Does the same for a statement that hasn't been sent. After a wait in vain
    /// others don't wait for a while, unless a proof came since: their callers
    /// can be served elsewhere.
    pub async fn prove_unsent(&self, server: &ServerId, moment: Uptime, deadline: Instant) -> bool {
        let is_hopeless = {
            let inner = self.lock();
            let until = inner.lease.expiry();
            let failed = inner.unproven.filter(|failed| until < *failed);
            failed.is_some_and(|failed| uptime() < failed + PROOF_PAUSE)
        };
        if is_hopeless {
            self.proof_wanted.notify_one();
            return self.is_proven(server, moment);
        }
        let is_proven = self.prove(server, moment, deadline).await;
        if !is_proven {
            self.lock().unproven = Some(uptime());
        }
        is_proven
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
