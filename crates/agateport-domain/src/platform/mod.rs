//! How often one process may ask the platform, and when it holds back.

mod error;

pub use error::Error;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// Requests that may go out in one second on average.
const RATE: u32 = 20;

/// Requests that may go out at once.
const BURST: u32 = 40;

/// Failures in a row after which requests are held back.
const FAILURE_THRESHOLD: u32 = 3;

/// First time for which they are held back.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for which they are held back.
const MAXIMUM_PAUSE: Duration = Duration::from_secs(2);

/// Time that one request gets to try whether the platform answers again.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Lets requests to the platform through, in bounds.
///
/// While the platform fails, one request at a time tries it, at intervals that
/// double up to a limit and are chosen at random, so that the processes don't
/// all come back at once.
#[derive(Debug)]
pub struct Limiter {
    /// When the bucket of tokens would be full.
    full_at: Instant,
    failures: u32,
    paused_until: Option<Instant>,
    random: Pcg64Mcg,
}

impl Limiter {
    /// Creates an open limiter.
    #[must_use]
    pub fn new(random: Pcg64Mcg, now: Instant) -> Self {
        Self {
            full_at: now,
            failures: 0,
            paused_until: None,
            random,
        }
    }

    /// Lets one request through.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the request may not be sent now.
    pub fn admit(&mut self, now: Instant) -> Result<(), Error> {
        if let Some(until) = self.paused_until {
            if now < until {
                return Err(Error::BackingOff(until - now));
            }
            // Others wait until this one has an answer, or is lost.
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

    /// Records an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.paused_until = None;
    }

    /// Records a request without an answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
        let pause = (INITIAL_PAUSE * 2u32.pow(doublings)).min(MAXIMUM_PAUSE);
        let part = self.random.random_range(0.5..1.0);
        self.paused_until = Some(now + pause.mul_f64(part));
    }
}
