//! Whether a node takes callers, and when it lets idle ones go.

use crate::clock::uptime;
use crate::control::poller::Snapshot;
use crate::dialect::Dialect;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time from not being ready until idle sessions are closed: the platform asks
/// once a second and needs two refusals before it sends no new callers.
pub const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Age of its last proof up to which a node counts itself able to serve: a pause
/// between two questions to the store, one to another node, and their answers.
///
/// A node that is cut off hears of it only by this; one that counts itself out by
/// mistake is back before the platform has asked twice.
const MAX_LEASE_AGE: Duration = Duration::from_millis(800);

/// Time between two looks whether the node can serve.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What decides whether a node takes callers.
#[derive(Debug)]
pub struct Readiness<D> {
    /// The groups and servers that the node knows.
    pub upstreams: Arc<Upstreams<D>>,
    /// What the store said last.
    pub snapshots: watch::Receiver<Option<Snapshot>>,
    /// Cancelled when the node is asked to stop.
    pub stop: CancellationToken,
}

impl<D> Clone for Readiness<D> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            snapshots: self.snapshots.clone(),
            stop: self.stop.clone(),
        }
    }
}

impl<D: Dialect> Readiness<D> {
    /// Tells whether the node can serve: it has a configuration and servers, and
    /// can still prove which of them are primaries.
    ///
    /// A node that is cut off with its zone sends its callers elsewhere by this.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        if self.stop.is_cancelled() || self.snapshots.borrow().is_none() {
            return false;
        }
        let upstreams = &self.upstreams;
        let has_routes = upstreams.catalog().version > 0;
        let has_servers = !upstreams.registry().is_empty();
        let renewed_after = uptime().saturating_sub(MAX_LEASE_AGE);
        has_routes && has_servers && upstreams.has_leases_since(renewed_after)
    }
}

/// Closes idle sessions while the node can't serve, once no new ones come.
pub async fn close_idle_sessions<D: Dialect>(
    readiness: Readiness<D>,
    release: Arc<watch::Sender<bool>>,
    end: CancellationToken,
) {
    let mut unready_since: Option<Uptime> = None;
    loop {
        tokio::select! {
            () = end.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if readiness.stop.is_cancelled() {
            return;
        }
        let has_started = readiness.snapshots.borrow().is_some();
        if readiness.is_ready() || !has_started {
            unready_since = None;
            release.send_if_modified(std::mem::take);
            continue;
        }
        let since = *unready_since.get_or_insert_with(uptime);
        if uptime() >= since + DRAIN_DELAY {
            release.send_if_modified(|is_released| !std::mem::replace(is_released, true));
        }
    }
}
