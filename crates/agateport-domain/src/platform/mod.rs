//! Limits the rate of a process's requests to the platform, and backs off while
//! the platform fails.

mod error;

pub use error::Error;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// Average number of requests allowed per second.
const RATE: u32 = 20;

/// Number of requests allowed in a burst.
const BURST: u32 = 40;

/// Consecutive failures after which the limiter backs off.
const FAILURE_THRESHOLD: u32 = 3;

/// First pause between requests while the platform fails, before jitter.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between requests while the platform fails, before jitter.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time after which a probe without a result no longer blocks other requests.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A rate limiter and circuit breaker for requests to the platform.
///
/// While the platform fails, one request at a time is sent as a probe. The
/// pauses between probes double up to a limit and have random jitter, so that
/// not all processes retry at once.
#[derive(Debug)]
pub struct Limiter {
    /// Time at which the token bucket would be full.
    full_at: Instant,
    failures: u32,
    paused_until: Option<Instant>,
    random: Pcg64Mcg,
}

impl Limiter {
    /// Creates a limiter with a full token bucket and no recorded failures.
    #[must_use]
    pub fn new(random: Pcg64Mcg, now: Instant) -> Self {
        Self {
            full_at: now,
            failures: 0,
            paused_until: None,
            random,
        }
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if no request may be sent now.
    pub fn admit(&mut self, now: Instant) -> Result<(), Error> {
        if let Some(until) = self.paused_until {
            if now < until {
                return Err(Error::BackingOff(until - now));
            }
            // Other requests are rejected until this probe has a result or times out.
            self.paused_until = Some(now + PROBE_TIMEOUT);
        }
        let interval = Duration::from_secs(1) / RATE;
        let full_at = self.full_at.max(now) + interval;
        if full_at > now + interval * BURST {
            return Err(Error::TooMany);
        }
        self.full_at = full_at;
        Ok(())
    }

    /// Records that a request was answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.paused_until = None;
    }

    /// Records that a request was not answered.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
        let pause = (INITIAL_PAUSE * 2u32.pow(doublings)).min(MAX_PAUSE);
        let fraction = self.random.random_range(0.5..1.0);
        self.paused_until = Some(now + pause.mul_f64(fraction));
    }
}
