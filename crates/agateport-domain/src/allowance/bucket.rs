//! A token bucket whose rate and capacity can change.

use crate::id::Uptime;
use std::time::Duration;

/// Part of an operation that rounding errors of the level may take.
const PRECISION: f64 = 1e-6;

/// Operations that become available at a rate, up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Operations available at `updated_at`.
    level: f64,
    /// Operations per second.
    rate: f64,
    capacity: f64,
    updated_at: Uptime,
}

impl Bucket {
    /// Creates a bucket that was empty at `since`.
    #[must_use]
    pub fn new(rate: f64, capacity: f64, since: Uptime) -> Self {
        Self {
            level: 0.0,
            rate,
            capacity,
            updated_at: since,
        }
    }

    /// Returns a bucket with this rate and capacity that was empty at `since`.
    #[must_use]
    pub fn emptied(&self, since: Uptime) -> Self {
        Self::new(self.rate, self.capacity, since)
    }

    /// Sets the rate from `now` on, and the capacity, to which the level is cut.
    pub fn set(&mut self, rate: f64, capacity: f64, now: Uptime) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds the operations that became available until `now`.
    pub fn refill(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Omits the operations of the time until `now`.
    pub fn skip(&mut self, now: Uptime) {
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes up to `count` whole operations, and returns their number.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is between zero and a 32-bit integer"
    )]
    pub fn take(&mut self, count: u32, now: Uptime) -> u32 {
        self.refill(now);
        let whole = (self.level + PRECISION).floor().max(0.0);
        let taken = whole.min(f64::from(count));
        self.level = (self.level - taken).max(0.0);
        taken as u32
    }

    /// Returns the operations per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time until an operation is available; none if that never happens.
    #[must_use]
    pub fn time_to_next(&self) -> Option<Duration> {
        if self.capacity + PRECISION < 1.0 {
            return None;
        }
        let missing = (1.0 - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }
}
