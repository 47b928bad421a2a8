//! The time-limited right to use a server as its group's only primary.

use crate::id::Uptime;
use std::time::Duration;

/// Duration of a lease, counted from when the read of the store was sent.
///
/// A handover waits this long after it was recorded, so the duration is part of
/// each interruption of service. It allows for three reads of the store, so one
/// slow or lost answer does not cause the lease to expire.
pub const DURATION: Duration = Duration::from_millis(900);

/// Tracks how long a primary is known to be its group's only one.
///
/// Two sources extend a lease. A read of the store's record that names no other
/// primary extends it to [`DURATION`] after the read was sent, because the node
/// that changes the record waits that long before acting on it. Answers of all
/// other servers of the group that they are replicas extend it to the moment they
/// were queried, and no further.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lease {
    expiry: Uptime,
    /// When the last query that extended or confirmed the lease was sent.
    last_query: Uptime,
}

impl Lease {
    /// Renews the lease: the store, queried at `sent_at`, names this primary.
    pub fn renew(&mut self, sent_at: Uptime) {
        self.expiry = self.expiry.max(sent_at + DURATION);
        self.last_query = self.last_query.max(sent_at);
    }

    /// Confirms the lease: all other servers, queried at `sent_at`, are replicas.
    pub fn confirm(&mut self, sent_at: Uptime) {
        self.expiry = self.expiry.max(sent_at);
        self.last_query = self.last_query.max(sent_at);
    }

    /// Returns whether the primary is known to be the only one at `moment`.
    #[must_use]
    pub fn covers(&self, moment: Uptime) -> bool {
        moment < self.expiry
    }

    /// Returns when the last query that extended or confirmed the lease was sent.
    #[must_use]
    pub fn last_query(&self) -> Uptime {
        self.last_query
    }

    /// Returns the moment at which the lease expires.
    #[must_use]
    pub fn expiry(&self) -> Uptime {
        self.expiry
    }
}
