//! Refuses a flood where it enters, by what the owner says of a priority.

use crate::request::{Reason, Refusal};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Time after which half of what was seen is forgotten.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Requests that go to the owner for each one that it accepts. Above one, so
/// that the throttle opens again, by this factor in a little over a half-life.
const HEADROOM: f64 = 2.0;

/// Requests that always pass in a half-life, so that the throttle can open again.
const MINIMUM_ADMITTED: f64 = 4.0;

/// What a frontend knows of one priority at one server: adaptive throttling by
/// the shares of accepted and refused requests.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Requests that were answered for, here or by the owner; those under way
    /// don't count, so that a burst that the owner takes isn't refused.
    offered: f64,
    accepted: f64,
    retry_after: Duration,
    decayed_at: Instant,
}

impl Throttle {
    /// Creates a throttle that is open.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            offered: 0.0,
            accepted: 0.0,
            retry_after: Duration::ZERO,
            decayed_at: now,
        }
    }

    /// Lets a request pass to the owner.
    ///
    /// # Errors
    ///
    /// A refusal if the owner would most likely refuse it.
    pub fn admit(&mut self, now: Instant, random: &mut impl Rng) -> Result<(), Refusal> {
        self.decay(now);
        let allowed = self.accepted * HEADROOM + MINIMUM_ADMITTED;
        let excess = (self.offered - allowed) / (self.offered + 1.0);
        if excess <= 0.0 || random.random::<f64>() >= excess {
            return Ok(());
        }
        self.offered += 1.0;
        Err(Refusal {
            reason: Reason::Flooded,
            retry_after: Some(self.retry_after),
        })
    }

    /// Records that the owner accepted a request.
    pub fn record_accepted(&mut self) {
        self.offered += 1.0;
        self.accepted += 1.0;
    }

    /// Records that the owner refused a request.
    pub fn record_refused(&mut self, refusal: &Refusal) {
        self.offered += 1.0;
        if let Some(retry_after) = refusal.retry_after {
            self.retry_after = retry_after;
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.offered *= factor;
        self.accepted *= factor;
        self.decayed_at = now;
    }
}
