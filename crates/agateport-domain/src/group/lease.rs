//! Proof that a group's primary is the only one.

use crate::id::Uptime;
use std::time::Duration;

/// Time for which an answer of the store proves that no other primary acts,
/// counted from when the store was asked.
///
/// A handover waits this long after it was recorded, so it is part of each gap
/// in service. Three reads of the store fit into it, so that one slow or lost
/// answer doesn't end the proof.
pub const DURATION: Duration = Duration::from_millis(900);

/// The moment up to which a primary is known to be the only one.
///
/// There are two proofs. The store's record, when it names no other primary,
/// holds for [`DURATION`] from the question on, since whoever changes the record
/// waits that long before acting on it. The answers of all other servers of the
/// group that they are replicas hold up to the question, and no further.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lease {
    expiry: Uptime,
    /// When what proves it was last asked.
    last_query: Uptime,
}

impl Lease {
    /// Takes in that the store, asked at `asked`, names this primary.
    pub fn renew(&mut self, sent_at: Uptime) {
        self.expiry = self.expiry.max(sent_at + DURATION);
        self.last_query = self.last_query.max(sent_at);
    }

    /// Takes in that all other servers, asked at `asked`, are replicas.
    pub fn confirm(&mut self, sent_at: Uptime) {
        self.expiry = self.expiry.max(sent_at);
        self.last_query = self.last_query.max(sent_at);
    }

    /// Tells whether the primary was the only one at `moment`.
    #[must_use]
    pub fn covers(&self, moment: Uptime) -> bool {
        moment < self.expiry
    }

    /// Returns when what proves it was last asked.
    #[must_use]
    pub fn last_query(&self) -> Uptime {
        self.last_query
    }

    /// Returns the moment up to which the proof holds.
    #[must_use]
    pub fn expiry(&self) -> Uptime {
        self.expiry
    }
}
