//! Readiness of a node, and the closing of idle sessions while it is not ready.

use crate::clock::uptime;
use crate::control::snapshot::Snapshot;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time from becoming unready until idle sessions are closed. The platform checks
/// readiness once a second and stops sending new callers after two failed checks.
pub const DRAIN_DELAY: Duration = Duration::from_millis(2_500);

/// Maximum age of the last lease renewal for a node to be ready: an interval
/// between two reads of the store, one between two queries to another node, and the
/// time of their answers.
///
/// This is the only way in which a partitioned node detects the partition. A node
/// that becomes unready by mistake is ready again before the platform's second
/// check.
const MAX_LEASE_AGE: Duration = Duration::from_millis(800);

/// Interval between two checks of the readiness.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Determines whether a node accepts callers.
#[derive(Debug)]
pub struct Readiness<W> {
    /// Groups and servers known to the node.
    pub upstreams: Arc<Upstreams<W>>,
    /// Latest snapshot of the store; none before the first read.
    pub snapshots: watch::Receiver<Option<Snapshot>>,
    /// Cancelled when a stop of the node is requested.
    pub stop: CancellationToken,
}

impl<W> Clone for Readiness<W> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            snapshots: self.snapshots.clone(),
            stop: self.stop.clone(),
        }
    }
}

impl<W: Protocol> Readiness<W> {
    /// Returns whether the node accepts new callers: it can serve them and has not nearly as
    /// many as it accepts.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.upstreams.intake().is_nearly_full()
    }

    /// Returns whether the node can serve callers: it has a configuration and
    /// servers, and its leases on their primaries are being renewed.
    ///
    /// When a whole zone is partitioned, its nodes become unready, and callers are
    /// directed to other zones.
    #[must_use]
    pub fn can_serve(&self) -> bool {
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

/// Closes idle sessions while the node cannot serve callers, once the platform has stopped
/// sending new ones. A node that is nearly full keeps its sessions.
///
/// While the value of `shutdown` is true, a session ends once it has no transaction.
pub async fn close_idle_sessions<W: Protocol>(
    readiness: Readiness<W>,
    shutdown: Arc<watch::Sender<bool>>,
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
        if readiness.can_serve() || !has_started {
            unready_since = None;
            // Sessions are notified only if the value changes.
            shutdown.send_if_modified(std::mem::take);
            continue;
        }
        let since = *unready_since.get_or_insert_with(uptime);
        if uptime() >= since + DRAIN_DELAY {
            shutdown.send_if_modified(|is_shutdown| !std::mem::replace(is_shutdown, true));
        }
    }
}
