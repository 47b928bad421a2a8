//! A circuit breaker for an upstream server that does not answer.

use std::time::{Duration, Instant};

/// Consecutive failures after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 3;

/// Time from opening to the first probe.
const INITIAL_DELAY: Duration = Duration::from_millis(250);

/// Longest interval between two probes.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// The circuit breaker of one server: closed while the server answers, open
/// while it does not.
///
/// While the breaker is open, it admits one probe per interval; the intervals
/// double up to a limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    probe_at: Option<Instant>,
}

impl Breaker {
    /// Admits a request to the server.
    ///
    /// # Errors
    ///
    /// The time until the next probe, if the breaker is open.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(probe_at) = self.probe_at else {
            return Ok(());
        };
        if now < probe_at {
            return Err(probe_at - now);
        }
        // This request is the probe; others are rejected until it succeeds or the
        // next probe is due.
        self.probe_at = Some(now + self.delay());
        Ok(())
    }

    /// Records that the server answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the server did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            self.probe_at = Some(now + self.delay());
        }
    }

    fn delay(&self) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(4);
        (INITIAL_DELAY * 2u32.pow(doublings)).min(MAX_DELAY)
    }
}
