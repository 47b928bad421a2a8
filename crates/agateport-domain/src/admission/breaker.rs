//! Keeps requests from an upstream server that doesn't answer.

use std::time::{Duration, Instant};

/// Failures in a row after which a server gets no more requests.
const FAILURE_THRESHOLD: u32 = 3;

/// Time until the first probe.
const INITIAL_DELAY: Duration = Duration::from_millis(250);

/// Longest time until the next probe.
const MAXIMUM_DELAY: Duration = Duration::from_secs(4);

/// A circuit of one server: closed while it answers, open while it doesn't,
/// with one probe now and then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    probe_at: Option<Instant>,
}

impl Breaker {
    /// Tells whether a request may go to the server.
    ///
    /// # Errors
    ///
    /// The time until the next probe if it may not.
    pub fn allow(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(probe_at) = self.probe_at else {
            return Ok(());
        };
        if now < probe_at {
            return Err(probe_at - now);
        }
        // This request is the probe; others wait for what becomes of it.
        self.probe_at = Some(now + self.delay());
        Ok(())
    }

    /// Records that the server answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the server didn't answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_THRESHOLD {
            self.probe_at = Some(now + self.delay());
        }
    }

    fn delay(&self) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(4);
        (INITIAL_DELAY * 2u32.pow(doublings)).min(MAXIMUM_DELAY)
    }
}
