//! Failure detector of one node for one server.

use crate::id::Uptime;
use std::time::Duration;

/// Time for which every attempt to reach a server must have failed before it is
/// considered unreachable.
///
/// It is longer than the pauses of a busy VM and than the retransmission of a
/// lost packet.
const MIN_DURATION: Duration = Duration::from_millis(350);

/// Number of attempts that must have failed since the last answer.
const MIN_FAILURES: u32 = 2;

/// Tracks one node's failed attempts to reach a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    first_failure: Option<Uptime>,
    failures: u32,
}

impl Detector {
    /// Records an answer of the server, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that an attempt that began at `started_at` received no answer.
    pub fn record_failure(&mut self, started_at: Uptime) {
        self.first_failure.get_or_insert(started_at);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether an attempt has failed since the last answer.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether this node considers the server unreachable.
    #[must_use]
    pub fn is_unreachable(&self, now: Uptime) -> bool {
        let is_old = self
            .first_failure
            .is_some_and(|first| now >= first + MIN_DURATION);
        is_old && self.failures >= MIN_FAILURES
    }
}
