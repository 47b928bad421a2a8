//! Refuses excess requests at the frontend, based on how many requests of the
//! priority the owner has refused.

use crate::request::{Reason, Refusal};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Time in which the recorded counts decay by half.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Requests sent to the owner for each one that it accepts.
///
/// It is above one so that the throttle recovers: the admitted rate grows by
/// this factor in a little over a half-life.
const HEADROOM: f64 = 2.0;

/// Requests admitted in each half-life whatever the owner refuses, so that the
/// throttle can recover.
const MIN_ADMITTED: f64 = 4.0;

/// An adaptive throttle of a frontend for one priority at one server.
///
/// It refuses requests at random, with a probability that grows with the share
/// of requests that the owner refuses.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Requests that this throttle refused, or that the owner accepted or refused.
    ///
    /// Requests in flight do not count, so that a burst that the owner accepts
    /// is not refused.
    offered: f64,
    accepted: f64,
    retry_after: Duration,
    decayed_at: Instant,
}

impl Throttle {
    /// Creates a throttle that admits all requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            offered: 0.0,
            accepted: 0.0,
            retry_after: Duration::ZERO,
            decayed_at: now,
        }
    }

    /// Admits a request, which may then be sent to the owner.
    ///
    /// # Errors
    ///
    /// A refusal if the owner would most likely refuse the request.
    pub fn admit(&mut self, now: Instant, random: &mut impl Rng) -> Result<(), Refusal> {
        self.decay(now);
        let allowed = self.accepted * HEADROOM + MIN_ADMITTED;
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
