//! When a node takes a server for lost.

use crate::id::Uptime;
use std::time::Duration;

/// Time over which every attempt to reach a server must have failed.
///
/// Longer than the pauses of a busy VM and than a lost packet's retransmission.
const MIN_DURATION: Duration = Duration::from_millis(350);

/// Attempts that must have failed in that time.
const MIN_FAILURES: u32 = 2;

/// One node's attempts to reach a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    first_failure: Option<Uptime>,
    failures: u32,
}

impl Detector {
    /// Records an answer of the server.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records an attempt, begun at `begun`, that got no answer.
    pub fn record_failure(&mut self, begun: Uptime) {
        self.first_failure.get_or_insert(begun);
        self.failures = self.failures.saturating_add(1);
    }

    /// Tells whether some attempt failed since the last answer.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failures > 0
    }

    /// Tells whether the server is lost for this node.
    #[must_use]
    pub fn is_unreachable(&self, now: Uptime) -> bool {
        let is_old = self
            .first_failure
            .is_some_and(|first| now >= first + MIN_DURATION);
        is_old && self.failures >= MIN_FAILURES
    }
}
